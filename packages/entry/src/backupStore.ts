/**
 * The backup's side of backups: stores copies of peers' requests, and takes the requests over when their holder is lost
 * or hands them over.
 * @module
 */
import type { PeerIdentity, PeerLinks } from "@gladewall/coordination";
import { type Clock, type Logger, Outcome, waitFor } from "@gladewall/kernel";
import { DecisionRule, DecisionStage } from "@gladewall/policy";
import type { DecisionWriter } from "./decisions.js";
import type { EntrySettings } from "./entrySettings.js";
import type { DecisionHistory } from "./decisionHistory.js";
import {
  type CopyMessage,
  type CopyReply,
  decodeChunk,
  type DropMessage,
  type HandoverMessage,
  type HandoverReply,
  type NeverStartMessage,
  PeerKind,
  type ProgressItem,
  type ProgressMessage,
  type ProgressReply,
} from "./peerKinds.js";
import type { ActiveRequest, RequestRegistry } from "./requests.js";
import type { ResponseChunk, Envelope } from "./types.js";
import { decodeFailure } from "./wireFailure.js";

/** Dependencies of a backup store. */
export interface BackupStoreParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly requests: RequestRegistry;
  readonly decisions: DecisionWriter;
  readonly history: DecisionHistory;
  /** Continues a request that this entry has taken over. */
  readonly resume: (request: ActiveRequest, options: ResumeOptions) => void;
}

/** How a request that was taken over is continued. */
export interface ResumeOptions {
  /** Whether the request may be started here; false if its holder has sent it, or may have, without a claim. */
  readonly mayStart: boolean;
}

/** A backup copy of a peer's request. */
interface BackupCopy {
  readonly envelope: Envelope;
  readonly holder: PeerIdentity;
  /** Monotonic time of the request's deadline. */
  readonly deadline: number;
  readonly chunks: ResponseChunk[];
  /** Index of the first chunk held. */
  readonly firstIndex: number;
  progress: ProgressItem;
  mayStart: boolean;
}

/** Why this entry takes a request over. */
enum TakeoverCause {
  HolderLost = 1,
  HandedOver = 2,
}

const rulesByCause: Readonly<Record<TakeoverCause, DecisionRule>> = {
  [TakeoverCause.HolderLost]: DecisionRule.TakenOver,
  [TakeoverCause.HandedOver]: DecisionRule.HandedOver,
};

/** Stores the backup copies of peers' requests. */
export class BackupStore {
  private readonly copies = new Map<string, BackupCopy>();
  private readonly idsByKey = new Map<string, string>();
  private isClosed = false;

  private constructor(private readonly parts: BackupStoreParts) {
    const { links } = parts;
    links.setHandler(PeerKind.Copy, (message, peer) => this.handleCopy(message as CopyMessage, peer));
    links.setHandler(PeerKind.Progress, (message) => this.handleProgress(message as ProgressMessage));
    links.setHandler(PeerKind.Handover, (message) => this.handleHandover(message as HandoverMessage));
    links.setHandler(PeerKind.NeverStart, (message) => this.handleNeverStart(message as NeverStartMessage));
    links.setHandler(PeerKind.Drop, (message, peer) => this.handleDrop(message as DropMessage, peer));
    links.onLinkDown((peer) => void this.handleHolderDown(peer));
  }

  static create(parts: BackupStoreParts): BackupStore {
    return new BackupStore(parts);
  }

  /** Returns whether this entry has a copy of a request. */
  has(request: string): boolean {
    return this.copies.has(request);
  }

  /** Number of copies. */
  get size(): number {
    return this.copies.size;
  }

  /** Stops taking requests over. */
  close(): void {
    this.isClosed = true;
  }

  private handleCopy(message: CopyMessage, holder: PeerIdentity): CopyReply {
    const { envelope } = message;
    // This entry has taken the request over, and its former holder has not learned of that yet.
    if (this.parts.requests.isHeld(envelope.id))
      return { isHeld: true, existing: undefined, existingBody: undefined };
    const existing = message.isHome ? undefined : this.findKey(envelope.keyDigest);
    if (existing && existing.id !== envelope.id) {
      return { isHeld: false, existing: existing.id, existingBody: existing.bodyDigest };
    }
    this.removeExpired();
    const copy: BackupCopy = {
      envelope,
      holder,
      deadline: this.parts.clock.getTime() + message.remaining,
      chunks: message.progress.chunks.map(decodeChunk),
      firstIndex: message.progress.from,
      progress: message.progress,
      mayStart: true,
    };
    this.copies.set(envelope.id, copy);
    if (envelope.keyDigest !== undefined) this.idsByKey.set(envelope.keyDigest, envelope.id);
    this.addDecisions(envelope.id, message.progress);
    return { isHeld: true, existing: undefined, existingBody: undefined };
  }

  /** Returns the request with a key among those that this entry holds and the copies. */
  findKey(keyDigest: string | undefined): Envelope | undefined {
    if (keyDigest === undefined) return undefined;
    return this.parts.requests.getByKey(keyDigest)?.envelope ?? this.findCopy(keyDigest);
  }

  /** Returns the request with a key among the copies only. */
  findCopy(keyDigest: string | undefined): Envelope | undefined {
    if (keyDigest === undefined) return undefined;
    return this.copies.get(this.idsByKey.get(keyDigest) ?? "")?.envelope;
  }

  private handleProgress(message: ProgressMessage): ProgressReply {
    const unknown: string[] = [];
    for (const item of message.items) {
      const copy = this.copies.get(item.request);
      // A copy with a missing part cannot be used, so its holder has to send it whole again.
      const isUsable = copy !== undefined && item.from <= copy.firstIndex + copy.chunks.length;
      if (copy && isUsable) this.addProgress(copy, item);
      else unknown.push(item.request);
    }
    return { unknown };
  }

  private addProgress(copy: BackupCopy, item: ProgressItem): void {
    const { id } = copy.envelope;
    // Chunks that were sent twice, because an acknowledgement was late, are added only once.
    const endIndex = copy.firstIndex + copy.chunks.length;
    for (const chunk of item.chunks.slice(Math.max(0, endIndex - item.from)))
      copy.chunks.push(decodeChunk(chunk));
    copy.progress = { ...item, head: item.head ?? copy.progress.head, run: item.run ?? copy.progress.run };
    this.addDecisions(id, item);
    const isEnded = item.isComplete || item.failure !== undefined;
    if (!isEnded) return;
    this.removeCopy(copy);
    // The ended request is kept here too, because its holder may be lost before the caller has read the response, or
    // the key may be used again.
    const wasNotRun = item.failure?.outcome === Outcome.NotRun;
    if (!wasNotRun) this.storeEnded(copy);
  }

  private storeEnded(copy: BackupCopy): void {
    if (this.parts.requests.isHeld(copy.envelope.id)) return;
    const request = this.createRequest(copy);
    this.parts.requests.finish(request);
  }

  private addDecisions(id: string, item: ProgressItem): void {
    for (const decision of item.decisions) this.parts.history.add(id, decision);
  }

  private handleDrop(message: DropMessage, peer: PeerIdentity): void {
    const copy = this.copies.get(message.request);
    if (copy?.holder.name === peer.name) this.removeCopy(copy);
  }

  private handleNeverStart(message: NeverStartMessage): boolean {
    const copy = this.copies.get(message.request);
    if (copy) copy.mayStart = false;
    return copy !== undefined;
  }

  private handleHandover(message: HandoverMessage): HandoverReply {
    const taken = message.requests.filter((id) => this.tryTakeOver(id, TakeoverCause.HandedOver));
    return { taken };
  }

  /** Takes over the requests of a lost holder, unless it is linked again within `takeover_after`. */
  private async handleHolderDown(peer: PeerIdentity): Promise<void> {
    const { clock, settings, links } = this.parts;
    await waitFor(clock, settings.backups.takeover_after);
    if (this.isClosed || links.isLinked(peer.name)) return;
    const lost = [...this.copies.values()].filter((copy) => copy.holder.name === peer.name);
    // Takes over by priority. The queues serve in that order too, but the first requests are placed immediately.
    lost.sort((left, right) => right.envelope.priority - left.envelope.priority);
    for (const copy of lost) this.tryTakeOver(copy.envelope.id, TakeoverCause.HolderLost);
    if (lost.length > 0) this.parts.logger.warn("takeover", { holder: peer.name, requests: lost.length });
  }

  private tryTakeOver(id: string, cause: TakeoverCause): boolean {
    const copy = this.copies.get(id);
    if (!copy || this.isClosed) return false;
    this.removeCopy(copy);
    if (this.parts.requests.isHeld(id)) return true;
    const request = this.createRequest(copy);
    if (!request.isOpen) {
      this.parts.requests.finish(request);
      return true;
    }
    const inputs = {
      holder: copy.holder.name,
      entry: this.parts.settings.entry.name,
      emitted: request.log.end,
    };
    this.parts.decisions.add(id, DecisionStage.Takeover, rulesByCause[cause], inputs);
    this.parts.resume(request, { mayStart: copy.mayStart });
    return true;
  }

  private createRequest(copy: BackupCopy): ActiveRequest {
    const { envelope, deadline, chunks, progress } = copy;
    const request = this.parts.requests.adopt(envelope, deadline);
    request.run = progress.run;
    request.log.restore(progress.head, chunks);
    if (progress.isComplete) request.log.complete();
    if (progress.failure) request.log.fail(decodeFailure(progress.failure));
    return request;
  }

  /** Removes copies past their deadline: a holder that selects another backup may never report the end to this one. */
  private removeExpired(): void {
    const now = this.parts.clock.getTime();
    for (const copy of this.copies.values()) {
      if (copy.deadline > now) break;
      this.removeCopy(copy);
    }
  }

  private removeCopy(copy: BackupCopy): void {
    const { id, keyDigest } = copy.envelope;
    this.copies.delete(id);
    if (keyDigest !== undefined && this.idsByKey.get(keyDigest) === id) this.idsByKey.delete(keyDigest);
  }
}
