/**
 * Acquires and renews a lease on a name. At most one holder acts at a time, provided that all clocks run at the
 * same rate. Every command of a holder carries a fencing token, which grows with each change of holder.
 *
 * The validity of a lease counts from the time at which the renewal was sent, because the service cannot have
 * started its own count earlier. A holder that was paused, or whose machine was suspended, therefore finds its
 * lease expired before it acts.
 * @module
 */
import { type Clock, type Closeable, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { GrantedLease, LeaseService } from "./types.js";

/** Options of a lease holder. */
export interface LeaseOptions {
  readonly service: LeaseService;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name on which the lease is held. */
  readonly name: string;
  /** Name under which this process acquires the lease. */
  readonly holder: string;
  /** Milliseconds after which a lease expires unless it is renewed. */
  readonly ttlMs: number;
  /**
   * Milliseconds before the expiry of the lease at which the holder stops acting. Covers clock drift and the
   * time that a command takes to arrive.
   */
  readonly safetyMarginMs: number;
  /** Returns a number from 0 to 1, for jitter. */
  readonly getRandom: () => number;
  /** Returns whether to try to acquire the lease now; always tried if omitted. */
  readonly shouldAcquire?: () => boolean;
  /** Returns whether to keep the lease; if false, it is no longer renewed and expires. Always kept if omitted. */
  readonly shouldKeep?: () => boolean;
}

interface HeldLease {
  readonly granted: GrantedLease;
  /** Boot time until which the holder may act. */
  readonly validUntil: number;
  /** Monotonic time at which the lease was acquired. */
  readonly acquiredAt: number;
}

const renewalsPerTtl = 3;

/** Tries to acquire and keep one lease until it is closed. */
export class LeaseHolder implements Closeable {
  private held: HeldLease | undefined;
  private readonly stop = new AbortController();
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: LeaseOptions) {}

  static create(options: LeaseOptions): LeaseHolder {
    return new LeaseHolder(options);
  }

  /** Starts acquiring and renewing the lease. */
  start(): void {
    this.task = this.run();
  }

  /**
   * Returns the fencing token if the holder may act now; fails with `LeaseLost` otherwise. Call it right before each
   * command, not once before several, because the process may be paused between two commands.
   */
  getFencingToken(): Result<number, Failure> {
    const { clock, name } = this.options;
    if (!this.held || clock.getBootTime() >= this.held.validUntil) {
      return Err(Failure.create(FailureCode.LeaseLost, { lease: name }));
    }
    return Ok(this.held.granted.fence);
  }

  /** Returns the milliseconds for which the lease has been held; 0 if it is not held. */
  getHeldMs(): number {
    return this.held ? this.options.clock.getTime() - this.held.acquiredAt : 0;
  }

  /** Stops without releasing the lease, which then expires. */
  stopWithoutRelease(): void {
    this.stop.abort();
    this.held = undefined;
  }

  /** Stops and releases the lease. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.task;
    const { held } = this;
    this.held = undefined;
    if (held) await this.options.service.releaseLease(held.granted.session);
  }

  private async run(): Promise<void> {
    const { clock, ttlMs, getRandom } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      if (this.held) await this.renew(this.held.granted);
      else await this.acquire();
      // Jitter keeps the waiting instances from trying to acquire the lease at the same time.
      await waitFor(clock, (ttlMs / renewalsPerTtl) * (0.75 + getRandom() / 4), signal);
    }
  }

  private async acquire(): Promise<void> {
    const { service, clock, name, holder, ttlMs, logger, shouldAcquire } = this.options;
    if (shouldAcquire && !shouldAcquire()) return;
    const sentAt = clock.getBootTime();
    const granted = await service.acquireLease(name, holder, ttlMs);
    if (granted.isErr() || !granted.value) return;
    this.setHeld(granted.value, sentAt);
    logger.info("lease.acquired", { lease: name, fence: granted.value.fence });
  }

  private async renew(granted: GrantedLease): Promise<void> {
    const { service, clock, name, logger, shouldKeep } = this.options;
    if (shouldKeep && !shouldKeep()) return this.letExpire(granted);
    const sentAt = clock.getBootTime();
    const renewed = await service.renewLease(granted.session);
    if (renewed.isOk()) return this.setHeld(granted, sentAt);
    // After any other failure the lease is kept as it is: it may have been renewed, and it expires if it was not.
    if (renewed.error.code !== FailureCode.LeaseLost) return;
    this.held = undefined;
    logger.warn("lease.lost", { lease: name, fence: granted.fence });
  }

  /**
   * Stops acting at once without releasing the lease, so that the next holder starts no earlier than after a
   * lost one.
   */
  private letExpire(granted: GrantedLease): void {
    this.held = undefined;
    this.options.logger.info("lease.left", { lease: this.options.name, fence: granted.fence });
  }

  private setHeld(granted: GrantedLease, sentAt: number): void {
    const { clock, ttlMs, safetyMarginMs } = this.options;
    const since = this.held?.granted.fence === granted.fence ? this.held.acquiredAt : clock.getTime();
    this.held = { granted, validUntil: sentAt + ttlMs - safetyMarginMs, acquiredAt: since };
  }
}
