/**
 * Registry of the requests that this entry holds: open requests, and finished ones whose response a caller may still
 * fetch again.
 * @module
 */
import type { Claim } from "@gladewall/coordination";
import { type Clock, Outcome } from "@gladewall/kernel";
import { ResponseLog, ResponseState } from "./responseLog.js";
import type { EntrySettings } from "./entrySettings.js";
import type { Envelope } from "./types.js";

/** The latest run of a request at an endpoint. */
export interface CurrentRun {
  readonly runId: string;
  readonly attempt: number;
  readonly endpoint: string;
}

/** Why a run is stopped before its end. */
export enum StopReason {
  CallerLeft = 1,
  DeadlinePassed = 2,
  EndpointLeaving = 3,
  HandedOver = 4,
}

/**
 * A request that this entry holds, and its response. The holder of a request is the one entry that runs it and serves
 * its response; other entries may have backup copies.
 */
export class ActiveRequest {
  readonly log: ResponseLog;
  /** Aborted to stop the request; the abort reason is a `StopReason`. */
  readonly stop = new AbortController();
  /** Aborted to stop only the current attempt; each attempt creates a new controller. */
  attemptStop = new AbortController();
  run: CurrentRun | undefined;
  /**
   * Whether this entry may send a request that must not be retried: it has won the claim, or all backups have agreed
   * never to start the request.
   */
  isClaimed = false;
  /** The claim that this entry has won for the request. */
  claim: Claim | undefined;
  /** Id of the request with the same idempotency key whose response this request copies. */
  attachedTo: string | undefined;
  /** Whether an endpoint may have started to process the request. */
  mayHaveRun = false;
  /** Monotonic time of the first token or byte of the response. */
  firstChunkAt: number | undefined;

  private constructor(
    readonly envelope: Envelope,
    holdBytes: number,
    /** Monotonic time of acceptance. */
    readonly startedAt: number,
    /** Monotonic time by which the request must end. */
    readonly deadline: number,
  ) {
    this.log = ResponseLog.create(holdBytes);
  }

  static create(envelope: Envelope, holdBytes: number, startedAt: number, deadline: number): ActiveRequest {
    return new ActiveRequest(envelope, holdBytes, startedAt, deadline);
  }

  /** Whether the request has not ended yet. */
  get isOpen(): boolean {
    return this.log.state === ResponseState.Open;
  }

  /** Why the request is stopped; undefined if it is not. */
  get stopReason(): StopReason | undefined {
    return this.stop.signal.aborted ? (this.stop.signal.reason as StopReason) : undefined;
  }
}

/** Requests by id and by idempotency key. */
export class RequestRegistry {
  private readonly byId = new Map<string, ActiveRequest>();
  private readonly byKey = new Map<string, ActiveRequest>();
  /** Finished requests, oldest first, with the monotonic time at which their responses expire. */
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

  /** Returns the number of requests that have not ended. */
  getOpenCount(): number {
    return this.openCount;
  }

  /** Returns the requests that have not ended, oldest first. */
  getOpen(): readonly ActiveRequest[] {
    return [...this.byId.values()].filter((request) => request.isOpen);
  }

  /** Returns the request with an id. */
  get(id: string): ActiveRequest | undefined {
    this.removeExpired();
    return this.byId.get(id);
  }

  /** Returns whether this entry holds a request, open or ended, that has not moved to another entry. */
  isHeld(id: string): boolean {
    const request = this.get(id);
    return request !== undefined && request.log.state !== ResponseState.Moved;
  }

  /** Returns the request with an idempotency key. */
  getByKey(keyDigest: string): ActiveRequest | undefined {
    this.removeExpired();
    return this.byKey.get(keyDigest);
  }

  /** Adds a request that has just been accepted. */
  add(envelope: Envelope): ActiveRequest {
    return this.adopt(envelope, this.clock.getTime() + this.settings.deadline);
  }

  /** Adds a request that another entry accepted; `deadline` is a monotonic time of this entry's clock. */
  adopt(envelope: Envelope, deadline: number): ActiveRequest {
    const now = this.clock.getTime();
    const request = ActiveRequest.create(envelope, this.settings.hold_bytes, now, deadline);
    this.byId.set(envelope.id, request);
    if (envelope.keyDigest !== undefined) this.byKey.set(envelope.keyDigest, request);
    this.openCount += 1;
    return request;
  }

  /**
   * Records the end of a request. Its response is held for `hold_time`, or for less if the held responses exceed
   * `hold_total` bytes.
   */
  finish(request: ActiveRequest): void {
    this.openCount -= 1;
    if (this.openCount === 0) this.notifyIdle();
    // A request that was certainly not run must not block its key, so that the caller can retry with it.
    if (request.log.failure?.outcome === Outcome.NotRun) this.removeKey(request);
    this.heldBytes += request.log.size;
    this.finished.push({ request, expiresAt: this.clock.getTime() + this.settings.hold_time });
    this.removeExpired();
  }

  /** Resolves once no request is open. */
  async waitForIdle(): Promise<void> {
    while (this.openCount > 0) await new Promise<void>((resolve) => this.idleWaiters.push(resolve));
  }

  /** Removes expired responses, and the oldest ones while more than `hold_total` bytes are held. */
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
