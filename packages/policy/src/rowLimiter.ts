/**
 * Local gates of a row: rates as token buckets, concurrency as a count. What a gate may let through is its share of
 * the row's limit over the fleet; the share is set from outside and may change at any time.
 * @module
 */
import { type Clock, Failure, FailureCode, TokenBucket } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** What one entry may let through of a row. */
export interface RowShare {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrency: number;
}

/** The gate of one row in one entry. */
export class RowLimiter {
  private readonly requests: TokenBucket;
  private readonly tokens: TokenBucket;
  private active = 0;

  private constructor(
    clock: Clock,
    private readonly row: string,
    private share: RowShare,
  ) {
    this.requests = TokenBucket.create(clock, share.requestsPerSecond);
    this.tokens = TokenBucket.create(clock, share.tokensPerSecond);
  }

  static create(clock: Clock, row: string, share: RowShare): RowLimiter {
    return new RowLimiter(clock, row, share);
  }

  /** Changes the share. Requests already let through stay. */
  setShare(share: RowShare): void {
    this.share = share;
    this.requests.setRate(share.requestsPerSecond);
    this.tokens.setRate(share.tokensPerSecond);
  }

  /** Requests let through and not yet released. */
  getActiveCount(): number {
    return this.active;
  }

  /** Lets a request of so many tokens through, or says which limit forbids it and when to come back. */
  tryAcquire(tokens: number): Result<void, Failure> {
    if (this.active >= this.share.concurrency)
      return Err(this.refuse(FailureCode.ConcurrencyExceeded, this.share.concurrency, undefined));
    if (!this.requests.tryTake(1)) {
      return Err(
        this.refuse(FailureCode.RateExceeded, this.share.requestsPerSecond, this.requests.getWaitMs(1)),
      );
    }
    if (!this.tokens.tryTake(tokens)) {
      this.requests.refund(1);
      return Err(
        this.refuse(FailureCode.TokensExceeded, this.share.tokensPerSecond, this.tokens.getWaitMs(tokens)),
      );
    }
    this.active += 1;
    return Ok.EMPTY;
  }

  /** Releases a request; `unused` are tokens it was charged for but did not use. */
  release(unused: number): void {
    this.active -= 1;
    if (unused > 0) this.tokens.refund(unused);
  }

  private refuse(code: FailureCode, limit: number, wait: number | undefined): Failure {
    return Failure.create(code, { row: this.row, limit }, wait);
  }
}
