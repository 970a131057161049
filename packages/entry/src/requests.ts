/**
 * All requests that this entry holds: running ones, and finished ones whose answer callers may come back for.
 * @module
 */
import type { Claim } from "@gladewall/coordination";
import { type Clock, Outcome } from "@gladewall/kernel";
import { ResponseLog, ResponseState } from "./responseLog.js";
import type { EntrySettings } from "./entrySettings.js";
import type { Envelope } from "./types.js";

/** The run that a request has at an endpoint. */
export interface CurrentRun {
  readonly runId: string;
  readonly attempt: number;
  readonly endpoint: string;
}

/** Why a run is being stopped before its end. */
export enum StopReason {
  CallerLeft = 1,
  DeadlinePassed = 2,
  EndpointLeaving = 3,
  HandedOver = 4,
}

/** One request and its answer. */
export class ActiveRequest {
  readonly log: ResponseLog;
  /** Aborted when the request is to stop; its reason is a `StopReason`. */
  readonly stop = new AbortController();
  /** Aborted when only the present attempt is to stop; renewed by each attempt. */
  attemptStop = new AbortController();
  run: CurrentRun | undefined;
  /** This entry may send it although it must not be repeated: its claim is won. */
  isClaimed = false;
  /** The claim this entry won for it. */
  claim: Claim | undefined;
  /** Request of the same key whose answer this one gets. */
  attachedTo: string | undefined;
  /** An endpoint may have begun to work on it. */
  mayHaveRun = false;
  /** Monotonic time of the first token or byte. */
  firstAt: number | undefined;

  private constructor(
    readonly envelope: Envelope,
    holdBytes: number,
    /** Monotonic time of acceptance. */
    readonly startedAt: number,
    /** Monotonic time by which it must have ended. */
    readonly deadline: number,
  ) {
    this.log = ResponseLog.create(holdBytes);
  }

  static create(envelope: Envelope, holdBytes: number, startedAt: number, deadline: number): ActiveRequest {
    return new ActiveRequest(envelope, holdBytes, startedAt, deadline);
  }

  /** Whether the request has not ended. */
  get isOpen(): boolean {
    return this.log.state === ResponseState.Open;
  }

  /** Why it is being stopped, undefined while it is not. */
  get stopReason(): StopReason | undefined {
    return this.stop.signal.aborted ? (this.stop.signal.reason as StopReason) : undefined;
  }
}

/** The registry. */
export class RequestRegistry {
  private readonly byId = new Map<string, ActiveRequest>();
  private readonly byKey = new Map<string, ActiveRequest>();
  /** Finished requests, oldest first, with the time at which their answers are let go. */
  private finished: { readonly request: ActiveRequest; readonly expiresAt: number }[] = [];
  private heldBytes = 0;
  private openCount = 0;
  private idleWaiters: (() => void)[] = [];

  private constructor(
    private readonly settings: EntrySettings["requests"],
    private readonly clock: Clock,
  ) {}

  static create(settings: EntrySettings["requests"], clock: Clock): RequestRegistry {
    return new RequestRegistry(settings, clock);
  }

  /** Requests that have not ended. */
  getOpenCount(): number {
    return this.openCount;
  }

  /** Requests that have not ended, oldest first. */
  getOpen(): readonly ActiveRequest[] {
    return [...this.byId.values()].filter((request) => request.isOpen);
  }

  /** Returns a request by its id. */
  get(id: string): ActiveRequest | undefined {
    this.removeExpired();
    return this.byId.get(id);
  }

  /** Whether this entry holds a request: running, or with its answer. */
  isHeld(id: string): boolean {
    const request = this.get(id);
    return request !== undefined && request.log.state !== ResponseState.Moved;
  }

  /** Returns the request of a key. */
  getByKey(keyDigest: string): ActiveRequest | undefined {
    this.removeExpired();
    return this.byKey.get(keyDigest);
  }

  /** Adds a request that has just been accepted. */
  add(envelope: Envelope): ActiveRequest {
    return this.adopt(envelope, this.clock.getTime() + this.settings.deadline);
  }

  /** Adds a request that another entry accepted; `deadline` is a monotonic time of this one. */
  adopt(envelope: Envelope, deadline: number): ActiveRequest {
    const now = this.clock.getTime();
    const request = ActiveRequest.create(envelope, this.settings.hold_bytes, now, deadline);
    this.byId.set(envelope.id, request);
    if (envelope.keyDigest !== undefined) this.byKey.set(envelope.keyDigest, request);
    this.openCount += 1;
    return request;
  }

  /** Notes that a request has ended; its answer is held for a time, within the memory for answers. */
  finish(request: ActiveRequest): void {
    this.openCount -= 1;
    if (this.openCount === 0) this.notifyIdle();
    // What was surely not run may be asked for again under the same key.
    if (request.log.failure?.outcome === Outcome.NotRun) this.removeKey(request);
    this.heldBytes += request.log.size;
    this.finished.push({ request, expiresAt: this.clock.getTime() + this.settings.hold_time });
    this.removeExpired();
  }

  /** Resolves when no request is open. */
  async waitForIdle(): Promise<void> {
    while (this.openCount > 0) await new Promise<void>((resolve) => this.idleWaiters.push(resolve));
  }

  /** Lets go of answers whose time is over, and of the oldest while memory is short. */
  private removeExpired(): void {
    const now = this.clock.getTime();
    let count = 0;
    for (const { request, expiresAt: expiresAt } of this.finished) {
      if (expiresAt > now && this.heldBytes <= this.settings.hold_total) break;
      this.remove(request);
      count += 1;
    }
    if (count > 0) this.finished.splice(0, count);
  }

  private notifyIdle(): void {
    const waiters = this.idleWaiters;
    this.idleWaiters = [];
    waiters.forEach((resolve) => resolve());
  }

  private remove(request: ActiveRequest): void {
    if (this.byId.get(request.envelope.id) !== request) return;
    this.byId.delete(request.envelope.id);
    this.heldBytes -= request.log.size;
    this.removeKey(request);
  }

  private removeKey(request: ActiveRequest): void {
    const { keyDigest } = request.envelope;
    if (keyDigest !== undefined && this.byKey.get(keyDigest) === request) this.byKey.delete(keyDigest);
  }
}
