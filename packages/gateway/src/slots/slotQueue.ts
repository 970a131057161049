/**
 * The requests for slots of one service at its arbiter: who requested one, who waits for a reply, and when to decide again. The order and
 * the choice of endpoints are the scheduler's.
 * @module
 */
import { getIncarnationKey, type PeerIdentity } from "@gladewall/coordination";
import type { Clock, Timer } from "@gladewall/kernel";
import {
  type EndpointLoad,
  maxGrantMs,
  type SlotDecision,
  type SlotEndpoint,
  type SlotEndpointLoad,
  SlotOutcome,
  SlotRefusal,
  type SlotScheduler,
} from "@gladewall/policy";
import {
  type ClaimedSlot,
  type SlotCall,
  type SlotEndReport,
  type SlotReply,
  type SlotWait,
  SlotReplyKind,
} from "./slotMessages.js";

/** Options of a queue. */
export interface SlotQueueOptions {
  readonly clock: Clock;
  /** Name of this instance, which replies as the arbiter. */
  readonly ownName: string;
  readonly scheduler: SlotScheduler;
  /** Returns the endpoints that requests may be sent to now. */
  readonly getEndpoints: () => readonly SlotEndpoint[];
  /** Called with what was known of an endpoint that had no room for a request with a grant. */
  readonly onRejected: (id: string, endpoint: SlotEndpointLoad) => void;
}

enum EntryState {
  Waiting = 1,
  /** Granted; the requester has not been told yet. */
  Granted = 2,
  /** The requester has been told, and reports the end. */
  Used = 3,
  /** Removed by the scheduler; the requester has not been told yet. */
  Removed = 4,
}

/** A request that waits or has a grant. */
interface Entry {
  readonly requester: PeerIdentity;
  /** Time after which the scheduler has dropped the request or its grant. */
  readonly forgetAt: number;
  /** Time at which it was requested, and then at which its requester was told of the grant. */
  since: number;
  state: EntryState;
  endpoint: string | undefined;
  /** Why it was removed. */
  refusal: SlotRefusal | undefined;
  /** Replies to the wait call that is open; undefined if there is none. */
  reply: ((reply: SlotReply) => void) | undefined;
}

/** Longest time between two decisions while requests wait: endpoints come and go without a message to this queue. */
const reviewIntervalMs = 100;
/** Shortest such time, in case the scheduler names a time at which nothing can be decided yet. */
const minReviewMs = 2;
/** Time within which an instance that was told of a grant lists it as one of its places. */
const listedMs = 300;
const unknownReply: SlotReply = { word: SlotReplyKind.Unknown };

/** The queue of one service. */
export class SlotQueue {
  private readonly entries = new Map<string, Entry>();
  private endpoints: readonly SlotEndpoint[] = [];
  private timer: Timer | undefined;
  private forgottenAt = 0;
  private usedAt: number;

  private constructor(private readonly options: SlotQueueOptions) {
    this.usedAt = options.clock.getTime();
  }

  static create(options: SlotQueueOptions): SlotQueue {
    return new SlotQueue(options);
  }

  /** Milliseconds since the last request, while none waits and no grant is open; otherwise 0. */
  getIdleMs(): number {
    const { waiting, open } = this.options.scheduler.getState();
    return waiting + open > 0 ? 0 : this.options.clock.getTime() - this.usedAt;
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.options.scheduler.getState().waiting;
  }

  /** Decides on a new request. */
  request(requester: PeerIdentity, call: SlotCall): SlotReply {
    const { clock, scheduler, ownName: arbiter } = this.options;
    const time = clock.getTime();
    this.usedAt = time;
    this.refreshEndpoints();
    const key = getKey(requester, call.id);
    const decision = scheduler.request({
      id: key,
      requester: requester.name,
      workspace: call.workspace,
      route: call.route,
      rank: call.rank,
      arrivedAt: time - call.ageMs,
      objectiveAt: time + call.objectiveMs,
      deadlineAt: time + call.deadlineMs,
      excluded: new Set(call.excluded),
      preferred: call.preferred,
      tokens: call.tokens,
    });
    if (decision.outcome === SlotOutcome.Refused) {
      const { refusal, retryAfterMs } = decision;
      return { word: SlotReplyKind.Refused, arbiter, refusal, retryAfterMs };
    }
    const forgetAt = time + Math.max(0, call.deadlineMs) + maxGrantMs;
    const entry = createEntry(requester, decision, time, forgetAt);
    this.entries.set(key, entry);
    this.update();
    if (entry.state === EntryState.Removed) return this.replyRemoved(key, entry);
    if (decision.outcome === SlotOutcome.Granted || entry.state !== EntryState.Waiting)
      return this.replyGranted(entry);
    return { word: SlotReplyKind.Queued, arbiter, waitMs: Math.max(0, decision.waitMs) };
  }

  /** Resolves when the request's turn comes, when it expires or is cancelled, or after `waitMs` if it is still queued. */
  wait(requester: PeerIdentity, { id, waitMs }: SlotWait): Promise<SlotReply> {
    const { clock, ownName: arbiter } = this.options;
    const key = getKey(requester, id);
    const entry = this.entries.get(key);
    if (!entry) return Promise.resolve(unknownReply);
    if (entry.state === EntryState.Removed) return Promise.resolve(this.replyRemoved(key, entry));
    if (entry.state !== EntryState.Waiting) return Promise.resolve(this.replyGranted(entry));
    entry.reply?.(unknownReply);
    return new Promise((resolve) => {
      const timer = clock.startTimer(waitMs, () => reply({ word: SlotReplyKind.Queued, arbiter, waitMs }));
      const reply = (value: SlotReply): void => {
        timer.cancel();
        if (entry.reply === reply) entry.reply = undefined;
        resolve(value);
      };
      entry.reply = reply;
    });
  }

  /** Ends a grant, or cancels a request that waits or whose grant was not used. */
  end(requester: PeerIdentity, { id, isCancelled, isRejected, tookMs, load }: SlotEndReport): void {
    const key = getKey(requester, id);
    if (!this.entries.has(key)) return;
    if (isCancelled) {
      this.cancel(key);
    } else {
      this.entries.delete(key);
      if (isRejected) this.reportRejection(id, key);
      this.options.scheduler.end({ id: key, isRejected, tookMs, load });
    }
    this.update();
  }

  /** Records the load that an endpoint reported while a request with a place runs there. */
  recordLoad(requester: PeerIdentity, id: string, load: EndpointLoad): void {
    this.options.scheduler.recordLoad(getKey(requester, id), load);
    this.update();
  }

  /**
   * Counts the places that an instance listed when it was asked at a time. What it had been granted before and does not list has
   * ended.
   */
  adopt(requester: PeerIdentity, slots: readonly ClaimedSlot[], askedAt: number): void {
    const { clock, scheduler } = this.options;
    const time = clock.getTime();
    this.refreshEndpoints();
    const listed = new Set<string>();
    for (const { id, endpoint, deadlineMs, tokens } of slots) {
      const key = getKey(requester, id);
      listed.add(key);
      scheduler.adopt({ id: key, endpoint, deadlineAt: time + deadlineMs, tokens });
      const known = this.entries.get(key);
      if (known?.state === EntryState.Used && known.endpoint === endpoint) continue;
      known?.reply?.(unknownReply);
      const forgetAt = time + deadlineMs + maxGrantMs;
      const state = { state: EntryState.Used, endpoint, refusal: undefined, reply: undefined };
      this.entries.set(key, { requester, since: time, forgetAt, ...state });
    }
    for (const [key, entry] of [...this.entries]) {
      const isSame = getIncarnationKey(entry.requester) === getIncarnationKey(requester);
      const isOlder = entry.state === EntryState.Used && entry.since < askedAt - listedMs;
      if (isSame && isOlder && !listed.has(key)) this.cancel(key);
    }
  }

  /** Decides again, after what may be granted has changed. */
  review(): void {
    this.update();
  }

  private reportRejection(id: string, key: string): void {
    const known = this.options.scheduler.describe(key);
    if (known) this.options.onRejected(id, known);
  }

  /**
   * Cancels what a peer waits for, and grants that it has not been told of; `incarnation` is left alone. Grants that it was told of
   * stay until they end or expire, or their endpoint shows that they are gone, because its requests may still run.
   */
  cancelPeer(name: string, incarnation: number | undefined): void {
    for (const [key, { requester, state }] of [...this.entries]) {
      const isAffected = requester.name === name && requester.incarnation !== incarnation;
      if (isAffected && state === EntryState.Used) this.options.scheduler.orphan(key);
      else if (isAffected) this.cancel(key);
    }
    this.update();
  }

  /** Cancels the requests that wait; their instances decide without the arbiter. Open grants stay. */
  releaseWaiting(): void {
    for (const [key, { state }] of [...this.entries]) {
      if (state === EntryState.Waiting || state === EntryState.Removed) this.cancel(key);
    }
    this.update();
  }

  /** Ends all waits and timers. */
  close(): void {
    this.timer?.cancel();
    for (const { reply } of [...this.entries.values()]) reply?.(unknownReply);
    this.entries.clear();
  }

  private cancel(key: string): void {
    const entry = this.entries.get(key);
    this.entries.delete(key);
    this.options.scheduler.cancel(key);
    entry?.reply?.(unknownReply);
  }

  private replyGranted(entry: Entry): SlotReply {
    entry.state = EntryState.Used;
    entry.since = this.options.clock.getTime();
    return { word: SlotReplyKind.Granted, arbiter: this.options.ownName, endpoint: entry.endpoint ?? "" };
  }

  /** Applies what has changed: endpoints, free slots and the passing of time. */
  private update(): void {
    const { scheduler } = this.options;
    this.refreshEndpoints();
    const { granted, expired, stranded } = scheduler.dispatch();
    for (const { id, endpoint } of granted) this.grant(id, endpoint);
    for (const id of expired) this.remove(id, SlotRefusal.DeadlineUnreachable);
    for (const id of stranded) this.remove(id, SlotRefusal.NoEndpoint);
    this.forgetOld();
    this.scheduleReview();
  }

  private grant(key: string, endpoint: string): void {
    const entry = this.entries.get(key);
    if (!entry) return this.options.scheduler.cancel(key);
    entry.state = EntryState.Granted;
    entry.endpoint = endpoint;
    if (entry.reply) entry.reply(this.replyGranted(entry));
  }

  private remove(key: string, refusal: SlotRefusal): void {
    const entry = this.entries.get(key);
    if (entry?.state !== EntryState.Waiting) return;
    // Between two wait calls of the requester, the entry stays for the next one.
    entry.state = EntryState.Removed;
    entry.refusal = refusal;
    entry.reply?.(this.replyRemoved(key, entry));
  }

  /** Returns the reply to a request that waited in vain. */
  private replyRemoved(key: string, { refusal = SlotRefusal.DeadlineUnreachable }: Entry): SlotReply {
    this.entries.delete(key);
    return { word: SlotReplyKind.Refused, arbiter: this.options.ownName, refusal, retryAfterMs: undefined };
  }

  /** Removes entries whose ends were lost; the scheduler has dropped them before. */
  private forgetOld(): void {
    const time = this.options.clock.getTime();
    if (time - this.forgottenAt < maxGrantMs) return;
    this.forgottenAt = time;
    for (const [key, { forgetAt }] of this.entries) if (forgetAt < time) this.cancel(key);
  }

  private scheduleReview(): void {
    const { clock, scheduler } = this.options;
    this.timer?.cancel();
    this.timer = undefined;
    const nextAt = scheduler.getNextAt() ?? Infinity;
    const reviewMs = this.waiting > 0 ? reviewIntervalMs : Infinity;
    const delayMs = Math.min(reviewMs, nextAt - clock.getTime());
    if (delayMs === Infinity) return;
    this.timer = clock.startTimer(Math.max(minReviewMs, delayMs), () => this.update());
  }

  private refreshEndpoints(): void {
    const endpoints = this.options.getEndpoints();
    if (areSame(endpoints, this.endpoints)) return;
    this.endpoints = endpoints;
    this.options.scheduler.setEndpoints(endpoints);
  }
}

function createEntry(
  requester: PeerIdentity,
  decision: SlotDecision,
  since: number,
  forgetAt: number,
): Entry {
  const isGranted = decision.outcome === SlotOutcome.Granted;
  return {
    requester,
    since,
    forgetAt,
    state: isGranted ? EntryState.Used : EntryState.Waiting,
    endpoint: isGranted ? decision.endpoint : undefined,
    refusal: undefined,
    reply: undefined,
  };
}

function getKey(requester: PeerIdentity, id: string): string {
  return `${getIncarnationKey(requester)}/${id}`;
}

function areSame(left: readonly SlotEndpoint[], right: readonly SlotEndpoint[]): boolean {
  if (left.length !== right.length) return false;
  return left.every((one, index) => {
    const other = right[index];
    return (
      one.incarnation === other?.incarnation &&
      one.slots === other.slots &&
      one.refusalLimit === other.refusalLimit &&
      one.mostGranted === other.mostGranted &&
      one.tokenCapacity === other.tokenCapacity &&
      one.term === other.term
    );
  });
}
