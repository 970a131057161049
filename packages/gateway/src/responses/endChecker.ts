/**
 * Checks, when a response without frame has ended with its connection, whether its endpoint goes on. A process that is killed refuses new
 * connections. Its open ones prove nothing: they are closed one after the other, in the time that a busy machine takes for it.
 * @module
 */
import { type Clock, waitFor } from "@gladewall/kernel";
import { ProbeResult } from "../crashes/endpointProbe.js";
import { type Endpoint, EndpointState } from "../endpoints/endpoint.js";
import { type EndedResponse, EndEvidence, ResponseEnd } from "./responseEnd.js";

/** Options of the checker. */
export interface EndCheckerOptions {
  readonly clock: Clock;
  /** Time for which an endpoint serves on after it has announced that it stops; milliseconds. */
  readonly drainMs: number;
  /** Whether an endpoint is known to have crashed. */
  readonly hasCrashed: (endpoint: Endpoint) => boolean;
  /** Tries to open a connection, and holds it; both times are milliseconds. */
  readonly probe: (address: string, timeoutMs: number, holdMs: number) => Promise<ProbeResult>;
  /** Whether this instance has just stood still: another process may listen at the endpoint's address since. */
  readonly hasStoodStill: () => boolean;
  /** Decides whether an endpoint that refuses connections has crashed: an instance that lost its paths meets refusals everywhere. */
  readonly confirm: (endpoint: Endpoint) => Promise<boolean>;
}

/** Time within which a process that is killed has lost all its connections, also on a busy machine. */
const closingMs = 20;
/** Longest time for which the end of a response waits for evidence. */
const maxProbeMs = 250;
/** Longest time for which it then waits for the peers' view of an endpoint that refuses connections. */
const maxConfirmMs = 250;

/** Looks for evidence on the ends of responses. */
export class EndChecker {
  private constructor(private readonly options: EndCheckerOptions) {}

  static create(options: EndCheckerOptions): EndChecker {
    return new EndChecker(options);
  }

  /** Returns how a response ended once it is known whether its endpoint goes on; other ends than unverified ones are returned at once. */
  async check(endpoint: Endpoint, ended: EndedResponse): Promise<EndedResponse> {
    if (ended.end !== ResponseEnd.Unverified) return ended;
    const { clock } = this.options;
    const startedAt = clock.getTime();
    const evidence = await this.findEvidence(endpoint);
    const end = evidence === EndEvidence.Ended ? ResponseEnd.Interrupted : ended.end;
    return { ...ended, end, evidence, evidenceMs: clock.getTime() - startedAt };
  }

  private async findEvidence(endpoint: Endpoint): Promise<EndEvidence> {
    const { hasCrashed, hasStoodStill, probe } = this.options;
    if (hasCrashed(endpoint)) return EndEvidence.Ended;
    const isAfterStandstill = hasStoodStill();
    const result = await probe(endpoint.record.address, maxProbeMs, closingMs);
    if (result === ProbeResult.Listening) return isAfterStandstill ? EndEvidence.None : EndEvidence.Running;
    if (endpoint.state === EndpointState.Leaving)
      return this.mayStillServe(endpoint) ? EndEvidence.Leaving : EndEvidence.None;
    const hasEnded = result === ProbeResult.Refused && (await this.confirmEnd(endpoint));
    return hasEnded ? EndEvidence.Ended : EndEvidence.None;
  }

  /**
   * Whether a leaving endpoint is still to serve. It may refuse connections before it has completed its responses; once its time is over, its
   * process ends with what it has open.
   */
  private mayStillServe({ leavingSince }: Endpoint): boolean {
    const { clock, drainMs } = this.options;
    return clock.getTime() - leavingSince < drainMs;
  }

  private async confirmEnd(endpoint: Endpoint): Promise<boolean> {
    if (endpoint.state !== EndpointState.Ready) return false;
    const { clock, confirm } = this.options;
    const isLate = waitFor(clock, maxConfirmMs).then(() => false);
    return Promise.race([confirm(endpoint), isLate]);
  }
}
