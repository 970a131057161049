/**
 * The holder's side of backups. Before a request is sent to an endpoint, a copy of it is sent to a peer in another data
 * hall, followed by its progress in batches. A caller receives a token only after the backup has acknowledged it, so
 * that an entry that takes the request over never contradicts what the caller has already read.
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
import type { DecisionHistory } from "./decisionHistory.js";
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

/** Dependencies of a backup writer. */
export interface BackupParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly view: MembershipView;
  readonly decisions: DecisionWriter;
  readonly metrics: EntryMetrics;
  readonly history: DecisionHistory;
}

/** Another request that has the same idempotency key: its id and the digest of its body. */
export interface KeyConflict {
  readonly request: string;
  readonly body: string;
}

/** How much of a request a backup has acknowledged: numbers of chunks and decisions. */
interface BackupProgress {
  chunks: number;
  decisions: number;
}

/** A request and its backups, as its holder tracks them. */
interface ReplicatedRequest {
  readonly request: ActiveRequest;
  /** Peers that hold a copy, each with the progress that it has acknowledged, which differs between peers. */
  readonly peers: Map<string, BackupProgress>;
  /** Whether it is being handed over to a backup or was handed over. If so, no other backup is selected. */
  isHandoverPending: boolean;
}

/** Sends progress to one peer: the requests with unsent progress, and whether a send loop is running. */
interface ProgressSender {
  readonly pending: Set<ReplicatedRequest>;
  isRunning: boolean;
}

const maxCopyAttempts = 3;

/** Maintains copies of this entry's requests at peers. */
export class BackupWriter {
  private readonly replicated = new Map<string, ReplicatedRequest>();
  private readonly senders = new Map<string, ProgressSender>();

  private constructor(private readonly parts: BackupParts) {
    parts.links.onLinkDown((peer) => this.handlePeerLost(peer.name));
    parts.links.onLinkUp(() => this.replaceMissingBackups());
  }

  static create(parts: BackupParts): BackupWriter {
    return new BackupWriter(parts);
  }

  /**
   * Sends a copy to a peer. Resolves with undefined when a peer stored the copy or none accepted it, or with the other
   * request if one has the same key.
   */
  async replicate(request: ActiveRequest): Promise<KeyConflict | undefined> {
    const replicated: ReplicatedRequest = {
      request,
      peers: new Map(),
      isHandoverPending: false,
    };
    this.replicated.set(request.envelope.id, replicated);
    if (this.parts.settings.backups.commit_output) request.log.release(request.log.count);
    const conflict = await this.findBackups(replicated);
    if (replicated.peers.size === 0) request.log.release(Infinity);
    return conflict;
  }

  /** Schedules sending the new progress of a request to its backups. */
  reportProgress(request: ActiveRequest): void {
    const replicated = this.replicated.get(request.envelope.id);
    if (!replicated) return;
    // Without a backup there is no acknowledgement to wait for.
    if (replicated.peers.size === 0) request.log.release(Infinity);
    for (const peer of replicated.peers.keys()) this.scheduleProgress(peer, replicated);
  }

  /** Reports the end of a request to its backups; it is tracked until they have acknowledged the end. */
  finish(request: ActiveRequest): void {
    this.reportProgress(request);
    const replicated = this.replicated.get(request.envelope.id);
    if (replicated?.peers.size === 0) this.replicated.delete(request.envelope.id);
  }

  /** Instructs the backups never to start a request; returns whether all of them have agreed. */
  async forbidStart(request: ActiveRequest): Promise<boolean> {
    const peers = [...(this.replicated.get(request.envelope.id)?.peers.keys() ?? [])];
    const message = { kind: PeerKind.NeverStart, request: request.envelope.id };
    const { ack_timeout: timeout } = this.parts.settings.backups;
    const answers = await Promise.all(peers.map((peer) => this.parts.links.call(peer, message, timeout)));
    return answers.every((answer) => answer.isOk() && answer.value === true);
  }

  /** Hands requests over to their backups; returns the accepted ones by id, with the peer that accepted each. */
  async handOver(requests: readonly ActiveRequest[]): Promise<ReadonlyMap<string, string>> {
    const taken = new Map<string, string>();
    const byPeer = new Map<string, string[]>();
    for (const request of requests) {
      const replicated = this.replicated.get(request.envelope.id);
      const [peer] = replicated?.peers.keys() ?? [];
      if (!replicated || peer === undefined) continue;
      replicated.isHandoverPending = true;
      await this.sendProgress(peer, [replicated]);
      byPeer.set(peer, [...(byPeer.get(peer) ?? []), request.envelope.id]);
    }
    for (const [peer, ids] of byPeer) {
      const message: HandoverMessage = { kind: PeerKind.Handover, requests: ids };
      const answer = await this.parts.links.call(peer, message, this.parts.settings.backups.ack_timeout);
      if (answer.isErr()) continue;
      for (const id of (answer.value as HandoverReply).taken) taken.set(id, peer);
    }
    for (const request of requests) this.retainUnlessTaken(request, taken);
    return taken;
  }

  /** Keeps holding a request that no backup accepted, and continues to send its progress. */
  private retainUnlessTaken(request: ActiveRequest, taken: ReadonlyMap<string, string>): void {
    const replicated = this.replicated.get(request.envelope.id);
    if (!replicated || taken.has(request.envelope.id)) return;
    replicated.isHandoverPending = false;
    this.reportProgress(request);
  }

  /** Returns the number of requests that this entry tracks backups for. */
  getReplicatedCount(): number {
    return this.replicated.size;
  }

  /** Stops using a leaving or lost peer as a backup and selects other backups at once. */
  private handlePeerLost(peer: string): void {
    for (const replicated of this.replicated.values()) {
      if (replicated.peers.delete(peer)) this.handleBackupLost(replicated);
    }
  }

  /** Selects another backup for an open request; releases the response of an ended one that has no backup left. */
  private handleBackupLost(replicated: ReplicatedRequest): void {
    if (replicated.isHandoverPending) return;
    if (replicated.request.isOpen) {
      void this.replaceBackup(replicated);
      return;
    }
    if (replicated.peers.size > 0) return;
    replicated.request.log.release(Infinity);
    this.replicated.delete(replicated.request.envelope.id);
  }

  /** Selects backups for open requests that have none. Called when a new peer is linked. */
  replaceMissingBackups(): void {
    for (const replicated of this.replicated.values()) {
      if (replicated.peers.size === 0 && replicated.request.isOpen) void this.findBackups(replicated);
    }
  }

  /** Handles the departure of a peer: requests copied to it get another backup now. */
  handleLeaving(peer: string): void {
    this.handlePeerLost(peer);
  }

  private async replaceBackup(replicated: ReplicatedRequest): Promise<void> {
    // The latest chunks may have no copy now, but callers do not wait until another backup is found.
    if (replicated.peers.size === 0) replicated.request.log.release(Infinity);
    await this.findBackups(replicated);
  }

  private async findBackups(replicated: ReplicatedRequest): Promise<KeyConflict | undefined> {
    const { envelope } = replicated.request;
    const peers = this.selectPeers(replicated.request);
    let needsOtherHall = true;
    for (const peer of peers.slice(0, maxCopyAttempts)) {
      if (!needsOtherHall) break;
      if (replicated.peers.has(peer.id)) continue;
      const reply = await this.sendCopy(peer.id, replicated);
      if (reply?.existing !== undefined) return { request: reply.existing, body: reply.existingBody ?? "" };
      if (!reply?.isHeld) continue;
      // The home of a key may be in this data hall; a second copy then goes to another data hall.
      needsOtherHall =
        peer.hall === this.parts.settings.entry.hall && peers.some((other) => other.hall !== peer.hall);
      const inputs = { backup: peer.id, hall: peer.hall };
      this.parts.decisions.add(envelope.id, DecisionStage.Backup, DecisionRule.CopyHeld, inputs);
    }
    if (replicated.peers.size > 0) {
      this.reportProgress(replicated.request);
      return undefined;
    }
    this.parts.metrics.unprotected.add();
    const text = peers.length === 0 ? "no other entry is known" : "none answered";
    this.parts.decisions.add(envelope.id, DecisionStage.Backup, DecisionRule.NoBackup, { text });
    return undefined;
  }

  /**
   * Returns peers in order of preference. A request with a key goes to the key's home first, which every entry selects
   * alike, so that two requests with one key meet there. After that, linked peers come before unlinked ones, and among
   * either, peers in another data hall before those in this one.
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

  /** Returns whether this entry is the home of the request's key, at which requests with the same key meet. */
  private isHome(request: ActiveRequest): boolean {
    const { keyDigest } = request.envelope;
    if (keyDigest === undefined) return false;
    const own = this.parts.settings.entry.name;
    const names = this.parts.view.getLive(InstanceRole.Entry).map((record) => record.id);
    return sortByRendezvous(keyDigest, names, (name) => name)[0] === own;
  }

  private async sendCopy(peer: string, replicated: ReplicatedRequest): Promise<CopyReply | undefined> {
    const { request } = replicated;
    const { clock, links, settings, metrics } = this.parts;
    const acknowledged: BackupProgress = { chunks: 0, decisions: 0 };
    const message: CopyMessage = {
      kind: PeerKind.Copy,
      envelope: request.envelope,
      remaining: request.deadline - clock.getTime(),
      isHome: this.isHome(request),
      progress: this.createProgressItem(request, acknowledged),
    };
    const progress = this.getProgress(request);
    const startedAt = clock.getTime();
    const answer = await links.call(peer, message, settings.backups.ack_timeout);
    metrics.copyTime.record(clock.getTime() - startedAt);
    if (answer.isErr()) return undefined;
    metrics.copiedBytes.add(request.envelope.body.length);
    const reply = answer.value as CopyReply;
    if (reply.isHeld) replicated.peers.set(peer, progress);
    return reply;
  }

  private scheduleProgress(peer: string, replicated: ReplicatedRequest): void {
    let sender = this.senders.get(peer);
    if (!sender) this.senders.set(peer, (sender = { pending: new Set(), isRunning: false }));
    sender.pending.add(replicated);
    if (!sender.isRunning) void this.runSender(peer, sender);
  }

  /** Sends new progress, one batch at a time; what is reported meanwhile goes into the next batch. */
  private async runSender(peer: string, sender: ProgressSender): Promise<void> {
    sender.isRunning = true;
    while (sender.pending.size > 0) {
      await waitFor(this.parts.clock, this.parts.settings.backups.progress_interval);
      const batch = [...sender.pending];
      sender.pending.clear();
      const isSent = await this.sendProgress(peer, batch);
      if (isSent) continue;
      for (const replicated of batch) this.dropPeer(peer, replicated);
    }
    sender.isRunning = false;
  }

  /** Stops using a peer that did not reply as a backup, and notifies it, because it may still hold its copy. */
  private dropPeer(peer: string, replicated: ReplicatedRequest): void {
    const message: DropMessage = { kind: PeerKind.Drop, request: replicated.request.envelope.id };
    this.parts.links.send(peer, message);
    if (replicated.peers.delete(peer)) this.handleBackupLost(replicated);
  }

  private async sendProgress(peer: string, batch: readonly ReplicatedRequest[]): Promise<boolean> {
    const { links, settings, metrics } = this.parts;
    const sentProgress: SentProgress[] = [];
    const items: ProgressItem[] = [];
    for (const replicated of batch) {
      const acknowledged = replicated.peers.get(peer);
      if (!acknowledged) continue;
      items.push(this.createProgressItem(replicated.request, acknowledged));
      sentProgress.push({
        replicated,
        progress: this.getProgress(replicated.request),
        state: replicated.request.log.state,
      });
    }
    if (items.length === 0) return true;
    const message: ProgressMessage = { kind: PeerKind.Progress, items };
    const answer = await links.call(peer, message, settings.backups.ack_timeout);
    if (answer.isErr()) return false;
    metrics.progressFrames.add();
    const unknown = new Set((answer.value as ProgressReply).unknown);
    for (const each of sentProgress)
      this.acknowledge(each, peer, unknown.has(each.replicated.request.envelope.id));
    return true;
  }

  private acknowledge({ replicated, progress, state }: SentProgress, peer: string, isUnknown: boolean): void {
    const { request, peers } = replicated;
    if (isUnknown && replicated.isHandoverPending) return;
    if (isUnknown && request.isOpen) {
      // The backup has lost the copy, taken the request over or missed a part, so it is no longer a backup.
      peers.delete(peer);
      void this.replaceBackup(replicated);
      return;
    }
    const acknowledged = peers.get(peer);
    // Batches may be acknowledged out of order; a backup keeps all chunks that it has acknowledged.
    if (acknowledged)
      peers.set(peer, {
        chunks: Math.max(acknowledged.chunks, progress.chunks),
        decisions: progress.decisions,
      });
    if (state === ResponseState.Open) {
      request.log.release(getMinChunks(peers));
      return;
    }
    request.log.release(Infinity);
    peers.delete(peer);
    if (peers.size === 0) this.replicated.delete(request.envelope.id);
  }

  /** Returns the present progress of a request. */
  private getProgress(request: ActiveRequest): BackupProgress {
    const decisions = this.parts.history.get(request.envelope.id)?.length ?? 0;
    return { chunks: request.log.count, decisions };
  }

  /** Returns the progress of a request that a backup has not acknowledged yet. */
  private createProgressItem(request: ActiveRequest, acknowledged: BackupProgress): ProgressItem {
    const { log, envelope } = request;
    const decisions = this.parts.history.get(envelope.id) ?? [];
    return {
      request: envelope.id,
      run: request.run,
      head: log.head,
      from: acknowledged.chunks,
      chunks: log.getChunksFrom(acknowledged.chunks).map(encodeChunk),
      isComplete: log.state === ResponseState.Complete,
      failure: log.failure && encodeFailure(log.failure),
      decisions: decisions.slice(acknowledged.decisions),
    };
  }
}

/** Progress sent for one request: what its backup has once it acknowledges, and the response state at that time. */
interface SentProgress {
  readonly replicated: ReplicatedRequest;
  readonly progress: BackupProgress;
  readonly state: ResponseState;
}

/** Returns the number of chunks that every backup has, because any of them may take the request over. */
function getMinChunks(peers: ReadonlyMap<string, BackupProgress>): number {
  let min = Infinity;
  for (const { chunks } of peers.values()) min = Math.min(min, chunks);
  return min;
}
