/**
 * Holds a lease on a name: at most one holder acts at a time, as far as clocks of equal rate allow, and every order it
 * gives carries a fence that grows with each change of hands.
 *
 * Validity counts from the time the renewal was *sent*: what the service counts from cannot be earlier. A holder that was
 * paused, or whose machine was suspended, finds its own lease out of date before it acts.
 * @module
 */
import { type Clock, type Closeable, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { GrantedLease, LeaseService } from "./types.js";

/** Options of a holder. */
export interface LeaseOptions {
  readonly service: LeaseService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly name: string;
  readonly holder: string;
  /** Milliseconds that a lease lasts without renewal. */
  readonly ttlMs: number;
  /** Milliseconds before the end of the lease at which this side stops acting: covers clocks and the order's way. */
  readonly safetyMarginMs: number;
  /** Returns a number from 0 to 1, for jitter. */
  readonly getRandom: () => number;
  /** Tells whether asking for the lease makes sense now; where it is left out, it always does. */
  readonly shouldAcquire?: () => boolean;
  /** Tells whether the lease makes sense here still; where it does not, it is left to run out. */
  readonly shouldKeep?: () => boolean;
}

interface HeldLease {
  readonly granted: GrantedLease;
  /** Boot time until which acting is safe. */
  readonly validUntil: number;
  /** Monotonic time at which it was granted. */
  readonly since: number;
}

const renewalsPerTtl = 3;

/** Tries to hold one lease for as long as it is open. */
export class LeaseHolder implements Closeable {
  private held: HeldLease | undefined;
  private readonly stop = new AbortController();
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: LeaseOptions) {}

  static create(options: LeaseOptions): LeaseHolder {
    return new LeaseHolder(options);
  }

  /** Starts to acquire, then to renew. */
  start(): void {
    this.task = this.hold();
  }

  /**
   * Returns the fence if acting is safe now. Call it right before each order, not once before many: between two
   * calls the process may have been paused.
   */
  getFencingToken(): Result<number, Failure> {
    const { clock, name } = this.options;
    if (!this.held || clock.getBootTime() >= this.held.validUntil) {
      return Err(Failure.create(FailureCode.LeaseLost, { lease: name }));
    }
    return Ok(this.held.granted.fence);
  }

  /** Milliseconds that the lease has been held for; 0 where it is not. */
  getHeldMs(): number {
    return this.held ? this.options.clock.getTime() - this.held.since : 0;
  }

  /** Stops without giving the lease back: it runs out by itself. */
  stopWithoutRelease(): void {
    this.stop.abort();
    this.held = undefined;
  }

  /** Gives the lease back. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.task;
    const { held } = this;
    this.held = undefined;
    if (held) await this.options.service.releaseLease(held.granted.session);
  }

  private async hold(): Promise<void> {
    const { clock, ttlMs: ttl, getRandom } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      if (this.held) await this.renew(this.held.granted);
      else await this.acquire();
      // Jitter keeps those who wait for the lease from asking together.
      await waitFor(clock, (ttl / renewalsPerTtl) * (0.75 + getRandom() / 4), signal);
    }
  }

  private async acquire(): Promise<void> {
    const { service, clock, name, holder, ttlMs: ttl, logger, shouldAcquire } = this.options;
    if (shouldAcquire && !shouldAcquire()) return;
    const sentAt = clock.getBootTime();
    const granted = await service.acquireLease(name, holder, ttl);
    if (granted.isErr() || !granted.value) return;
    this.setHeld(granted.value, sentAt);
    logger.info("lease.acquired", { lease: name, fence: granted.value.fence });
  }

  private async renew(granted: GrantedLease): Promise<void> {
    const { service, clock, name, logger, shouldKeep } = this.options;
    if (shouldKeep && !shouldKeep()) return this.letRunOut(granted);
    const sentAt = clock.getBootTime();
    const renewed = await service.renewLease(granted.session);
    if (renewed.isOk()) return this.setHeld(granted, sentAt);
    // Any other failure leaves the lease as it is: it may have been renewed, and runs out by itself if not.
    if (renewed.error.code !== FailureCode.LeaseLost) return;
    this.held = undefined;
    logger.warn("lease.lost", { lease: name, fence: granted.fence });
  }

  /** Acting ends at once; the lease is not given back, so that nobody follows sooner than after a lost holder. */
  private letRunOut(granted: GrantedLease): void {
    this.held = undefined;
    this.options.logger.info("lease.left", { lease: this.options.name, fence: granted.fence });
  }

  private setHeld(granted: GrantedLease, sentAt: number): void {
    const { clock, ttlMs: ttl, safetyMarginMs: margin } = this.options;
    const since = this.held?.granted.fence === granted.fence ? this.held.since : clock.getTime();
    this.held = { granted, validUntil: sentAt + ttl - margin, since };
  }
}
