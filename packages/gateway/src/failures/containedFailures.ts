/**
 * Records failures of this instance itself that ended a single request or message and left the instance running. Each is a fault of the
 * gateway: what callers, endpoints and peers send is checked where it is received.
 * @module
 */
import type { LogFields, Logger } from "@gladewall/kernel";
import type { GatewayMetrics } from "../gatewayMetrics.js";

/** What was being done when a failure was contained. The names are written to logs and metrics. */
export enum FailurePlace {
  /** A request of a caller. */
  Request = 1,
  /** An attempt that is passed on for a peer. */
  ForwardedAttempt = 2,
  /** A message of a peer. */
  PeerMessage = 3,
}

/** Options of the record. */
export interface ContainedFailuresOptions {
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, "countContainedFailure">;
}

/** Logs and counts contained failures. */
export class ContainedFailures {
  private constructor(private readonly options: ContainedFailuresOptions) {}

  static create(options: ContainedFailuresOptions): ContainedFailures {
    return new ContainedFailures(options);
  }

  /** Records a failure; `fields` identify what it ended. */
  record(place: FailurePlace, error: unknown, fields: LogFields): void {
    const name = FailurePlace[place];
    const cause = error instanceof Error ? error.stack : String(error);
    this.options.logger.error("failure.contained", { place: name, ...fields, cause });
    this.options.metrics.countContainedFailure(name);
  }
}

/** Returns a listener that passes what `listener` throws to `fail`; thrown out of an event, it would end the process. */
export function containThrows<Args extends readonly unknown[]>(
  listener: (...args: Args) => void,
  fail: (error: unknown) => void,
): (...args: Args) => void {
  return (...args) => {
    try {
      listener(...args);
    } catch (error) {
      fail(error);
    }
  };
}
