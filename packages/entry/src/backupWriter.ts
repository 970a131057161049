/**
 * The holder's side of backups: before a request is sent anywhere, a copy of it goes to a peer in another data hall,
 * and what becomes of it follows in groups. Callers get a token only when the backup has it, so that whoever goes on
 * with the request never contradicts what a caller has already read.
 * @module
 */
import {
  InstanceRole,
  type InstanceRecord,
  type MembershipView,
  type PeerLinks,
} from "@gladewall/coordination";
import { type Clock, type Logger, sortByRendezvous, waitFor } from "@gladewall/kernel";
import { DecisionRule, DecisionStage } from "@gladewall/policy";
import { ResponseState } from "./responseLog.js";
import type { DecisionWriter } from "./decisions.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import type { ExplainRing } from "./explainRing.js";
import {
  type CopyMessage,
  type CopyReply,
  type DropMessage,
  encodeChunk,
  type HandoverMessage,
  type HandoverReply,
  PeerKind,
  type ProgressItem,
  type ProgressMessage,
  type ProgressReply,
} from "./peerKinds.js";
import type { ActiveRequest } from "./requests.js";
import { encodeFailure } from "./wireFailure.js";

/** What the writer works with. */
export interface BackupParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly view: MembershipView;
  readonly decisions: DecisionWriter;
  readonly metrics: EntryMetrics;
  readonly ring: ExplainRing;
}

/** Another request that has the same key. */
export interface KeyConflict {
  readonly request: string;
  readonly body: string;
}

/** What one backup has of a request, as it acknowledged it. */
interface Held {
  chunks: number;
  decisions: number;
}

/** One request's backups, as its holder keeps them. */
interface Protection {
  readonly request: ActiveRequest;
  /** Peers that hold a copy, each with what it has: no two have the same. */
  readonly peers: Map<string, Held>;
  /** Its backup is being asked to go on with it: until that is settled no other is looked for. */
  isHandedOver: boolean;
}

interface Flusher {
  readonly dirty: Set<Protection>;
  isRunning: boolean;
}

const candidatesTried = 3;

/** Keeps copies of this entry's requests at peers. */
export class BackupWriter {
  private readonly protections = new Map<string, Protection>();
  private readonly flushers = new Map<string, Flusher>();

  private constructor(private readonly parts: BackupParts) {
    parts.links.onLinkDown((peer) => this.handleDown(peer.name));
    parts.links.onLinkUp(() => this.protectBare());
  }

  static create(parts: BackupParts): BackupWriter {
    return new BackupWriter(parts);
  }

  /**
   * Puts a copy at a peer. Resolves when it is held, when no peer could take it, or with the request that has the
   * same key.
   */
  async protect(request: ActiveRequest): Promise<KeyConflict | undefined> {
    const protection: Protection = {
      request,
      peers: new Map(),
      isHandedOver: false,
    };
    this.protections.set(request.envelope.id, protection);
    if (this.parts.settings.backups.commit_output) request.log.release(request.log.count);
    const conflict = await this.findBackups(protection);
    if (protection.peers.size === 0) request.log.release(Infinity);
    return conflict;
  }

  /** Says that something about a request is new. */
  report(request: ActiveRequest): void {
    const protection = this.protections.get(request.envelope.id);
    if (!protection) return;
    // Nobody is left to wait for.
    if (protection.peers.size === 0) request.log.release(Infinity);
    for (const peer of protection.peers.keys()) this.flush(peer, protection);
  }

  /** Says that a request has ended: its backups learn the end and are then let go. */
  finish(request: ActiveRequest): void {
    this.report(request);
    const protection = this.protections.get(request.envelope.id);
    if (protection?.peers.size === 0) this.protections.delete(request.envelope.id);
  }

  /** Tells the backups never to start a request; true where all of them know. */
  async forbidStart(request: ActiveRequest): Promise<boolean> {
    const peers = [...(this.protections.get(request.envelope.id)?.peers.keys() ?? [])];
    const message = { kind: PeerKind.NeverStart, request: request.envelope.id };
    const { ack_timeout: timeout } = this.parts.settings.backups;
    const answers = await Promise.all(peers.map((peer) => this.parts.links.call(peer, message, timeout)));
    return answers.every((answer) => answer.isOk() && answer.value === true);
  }

  /** Hands requests over to their backups; returns the ids of those that were taken, with who took them. */
  async handOver(requests: readonly ActiveRequest[]): Promise<ReadonlyMap<string, string>> {
    const taken = new Map<string, string>();
    const byPeer = new Map<string, string[]>();
    for (const request of requests) {
      const protection = this.protections.get(request.envelope.id);
      const [peer] = protection?.peers.keys() ?? [];
      if (!protection || peer === undefined) continue;
      protection.isHandedOver = true;
      await this.sendProgress(peer, [protection]);
      byPeer.set(peer, [...(byPeer.get(peer) ?? []), request.envelope.id]);
    }
    for (const [peer, ids] of byPeer) {
      const message: HandoverMessage = { kind: PeerKind.Handover, requests: ids };
      const answer = await this.parts.links.call(peer, message, this.parts.settings.backups.ack_timeout);
      if (answer.isErr()) continue;
      for (const id of (answer.value as HandoverReply).taken) taken.set(id, peer);
    }
    for (const request of requests) this.keepUnlessTaken(request, taken);
    return taken;
  }

  /** A request that nobody took stays this entry's own. */
  private keepUnlessTaken(request: ActiveRequest, taken: ReadonlyMap<string, string>): void {
    const protection = this.protections.get(request.envelope.id);
    if (!protection || taken.has(request.envelope.id)) return;
    protection.isHandedOver = false;
    this.report(request);
  }

  /** Number of requests that have a copy elsewhere. */
  getProtectedCount(): number {
    return this.protections.size;
  }

  /** A peer that is leaving or lost is no backup any more: another is found at once. */
  private handleDown(peer: string): void {
    for (const protection of this.protections.values()) {
      if (protection.peers.delete(peer)) this.handleLoss(protection);
    }
  }

  /** A request that goes on gets another backup; what has ended is given to its callers as it is. */
  private handleLoss(protection: Protection): void {
    if (protection.isHandedOver) return;
    if (protection.request.isOpen) {
      void this.replace(protection);
      return;
    }
    if (protection.peers.size > 0) return;
    protection.request.log.release(Infinity);
    this.protections.delete(protection.request.envelope.id);
  }

  /** Finds backups for requests that have none, now that there is another peer. */
  protectBare(): void {
    for (const protection of this.protections.values()) {
      if (protection.peers.size === 0 && protection.request.isOpen) void this.findBackups(protection);
    }
  }

  /** Says that a peer is leaving: requests copied there get another backup now. */
  handleLeaving(peer: string): void {
    this.handleDown(peer);
  }

  private async replace(protection: Protection): Promise<void> {
    // Nobody may hold the latest chunks now; callers are not kept waiting for the search.
    if (protection.peers.size === 0) protection.request.log.release(Infinity);
    await this.findBackups(protection);
  }

  private async findBackups(protection: Protection): Promise<KeyConflict | undefined> {
    const { envelope } = protection.request;
    const peers = this.selectPeers(protection.request);
    let needsOtherHall = true;
    for (const peer of peers.slice(0, candidatesTried)) {
      if (!needsOtherHall) break;
      if (protection.peers.has(peer.id)) continue;
      const reply = await this.copy(peer.id, protection);
      if (reply?.existing !== undefined) return { request: reply.existing, body: reply.existingBody ?? "" };
      if (!reply?.isHeld) continue;
      // The home of a key may stand in this hall; a second copy then goes to another.
      needsOtherHall =
        peer.hall === this.parts.settings.entry.hall && peers.some((other) => other.hall !== peer.hall);
      const inputs = { backup: peer.id, hall: peer.hall };
      this.parts.decisions.add(envelope.id, DecisionStage.Backup, DecisionRule.CopyHeld, inputs);
    }
    if (protection.peers.size > 0) {
      this.report(protection.request);
      return undefined;
    }
    this.parts.metrics.unprotected.add();
    const text = peers.length === 0 ? "no other entry is known" : "none answered";
    this.parts.decisions.add(envelope.id, DecisionStage.Backup, DecisionRule.NoBackup, { text });
    return undefined;
  }

  /**
   * Peers in order of preference. A keyed request goes to its key's home, which every entry finds alike, so that two
   * requests of one key meet there. Others go to another hall first, and to on-demand instances before reclaimable.
   */
  private selectPeers(request: ActiveRequest): readonly InstanceRecord[] {
    const { keyDigest, id } = request.envelope;
    const own = this.parts.settings.entry;
    const peers = this.parts.view.getLive(InstanceRole.Entry).filter((record) => record.id !== own.name);
    const sorted = sortByRendezvous(keyDigest ?? id, peers, (record) => record.id);
    const rank = (record: InstanceRecord): number =>
      (record.hall === own.hall ? 2 : 0) + (this.parts.links.isLinked(record.id) ? 0 : 4);
    const byRank = [...sorted].sort((left, right) => rank(left) - rank(right));
    if (keyDigest === undefined) return byRank;
    const [home] = sorted;
    return home ? [home, ...byRank.filter((record) => record !== home)] : [];
  }

  /** Whether this entry is the one at which requests of the same key meet. */
  private isHome(request: ActiveRequest): boolean {
    const { keyDigest } = request.envelope;
    if (keyDigest === undefined) return false;
    const own = this.parts.settings.entry.name;
    const names = this.parts.view.getLive(InstanceRole.Entry).map((record) => record.id);
    return sortByRendezvous(keyDigest, names, (name) => name)[0] === own;
  }

  private async copy(peer: string, protection: Protection): Promise<CopyReply | undefined> {
    const { request } = protection;
    const { clock, links, settings, metrics } = this.parts;
    const held: Held = { chunks: 0, decisions: 0 };
    const message: CopyMessage = {
      kind: PeerKind.Copy,
      envelope: request.envelope,
      remaining: request.deadline - clock.getTime(),
      isHome: this.isHome(request),
      progress: this.createItem(request, held),
    };
    const next = this.getPresent(request);
    const started = clock.getTime();
    const answer = await links.call(peer, message, settings.backups.ack_timeout);
    metrics.copyTime.record(clock.getTime() - started);
    if (answer.isErr()) return undefined;
    metrics.copiedBytes.add(request.envelope.body.length);
    const reply = answer.value as CopyReply;
    if (reply.isHeld) protection.peers.set(peer, next);
    return reply;
  }

  private flush(peer: string, protection: Protection): void {
    let flusher = this.flushers.get(peer);
    if (!flusher) this.flushers.set(peer, (flusher = { dirty: new Set(), isRunning: false }));
    flusher.dirty.add(protection);
    if (!flusher.isRunning) void this.runFlusher(peer, flusher);
  }

  /** Sends what is new, one group at a time; what comes meanwhile goes into the next group. */
  private async runFlusher(peer: string, flusher: Flusher): Promise<void> {
    flusher.isRunning = true;
    while (flusher.dirty.size > 0) {
      await waitFor(this.parts.clock, this.parts.settings.backups.progress_interval);
      const group = [...flusher.dirty];
      flusher.dirty.clear();
      const isSent = await this.sendProgress(peer, group);
      if (isSent) continue;
      for (const protection of group) this.dropPeer(peer, protection);
    }
    flusher.isRunning = false;
  }

  /** A peer that did not answer may hold its copy still: it is told that it is the backup no more. */
  private dropPeer(peer: string, protection: Protection): void {
    const message: DropMessage = { kind: PeerKind.Drop, request: protection.request.envelope.id };
    this.parts.links.send(peer, message);
    if (protection.peers.delete(peer)) this.handleLoss(protection);
  }

  private async sendProgress(peer: string, group: readonly Protection[]): Promise<boolean> {
    const { links, settings, metrics } = this.parts;
    const sent: Sent[] = [];
    const items: ProgressItem[] = [];
    for (const protection of group) {
      const held = protection.peers.get(peer);
      if (!held) continue;
      items.push(this.createItem(protection.request, held));
      sent.push({
        protection,
        next: this.getPresent(protection.request),
        state: protection.request.log.state,
      });
    }
    if (items.length === 0) return true;
    const message: ProgressMessage = { kind: PeerKind.Progress, items };
    const answer = await links.call(peer, message, settings.backups.ack_timeout);
    if (answer.isErr()) return false;
    metrics.progressFrames.add();
    const unknown = new Set((answer.value as ProgressReply).unknown);
    for (const each of sent) this.acknowledge(each, peer, unknown.has(each.protection.request.envelope.id));
    return true;
  }

  private acknowledge({ protection, next, state }: Sent, peer: string, isUnknown: boolean): void {
    const { request, peers } = protection;
    if (isUnknown && protection.isHandedOver) return;
    if (isUnknown && request.isOpen) {
      // The backup has lost the copy, taken it over or missed a part: it does not protect this request any more.
      peers.delete(peer);
      void this.replace(protection);
      return;
    }
    const held = peers.get(peer);
    // Groups to one backup may be acknowledged out of order: what it once had it still has.
    if (held) peers.set(peer, { chunks: Math.max(held.chunks, next.chunks), decisions: next.decisions });
    if (state === ResponseState.Open) {
      request.log.release(getLeastHeld(peers));
      return;
    }
    request.log.release(Infinity);
    peers.delete(peer);
    if (peers.size === 0) this.protections.delete(request.envelope.id);
  }

  /** All that there is of a request now. */
  private getPresent(request: ActiveRequest): Held {
    const decisions = this.parts.ring.get(request.envelope.id)?.length ?? 0;
    return { chunks: request.log.count, decisions };
  }

  /** What is there of a request beyond what a backup has. */
  private createItem(request: ActiveRequest, held: Held): ProgressItem {
    const { log, envelope } = request;
    const decisions = this.parts.ring.get(envelope.id) ?? [];
    return {
      request: envelope.id,
      run: request.run,
      head: log.head,
      from: held.chunks,
      chunks: log.getChunksFrom(held.chunks).map(encodeChunk),
      isComplete: log.state === ResponseState.Complete,
      failure: log.failure && encodeFailure(log.failure),
      decisions: decisions.slice(held.decisions),
    };
  }
}

/** What was sent about one request, and what its backup has once it acknowledges. */
interface Sent {
  readonly protection: Protection;
  readonly next: Held;
  readonly state: ResponseState;
}

/** Chunks that every backup has: any of them may be the one that goes on. */
function getLeastHeld(peers: ReadonlyMap<string, Held>): number {
  let least = Infinity;
  for (const { chunks } of peers.values()) least = Math.min(least, chunks);
  return least;
}
