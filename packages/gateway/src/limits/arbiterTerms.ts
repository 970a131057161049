/**
 * Keeps for how long this instance has been the arbiter of each subject, to tell what it must assume of the arbiter before it: what
 * that one granted is known here only once the instances that it was granted to have reported it.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/**
 * Time after which all instances have reported what another arbiter granted them: one report interval of a large fleet and
 * the report's transmission.
 */
export const arbiterTakeoverMs = 300;
/** After this long without a call, another instance may have acted as arbiter in the meantime. */
const arbiterIdleMs = 1_000;

/** Time in which an instance is the arbiter of a subject, from its first to its last call. */
interface ArbiterTerm {
  readonly since: number;
  readonly calledAt: number;
}

/** The terms by subject. */
export class ArbiterTerms {
  private readonly terms = new Map<string, ArbiterTerm>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ArbiterTerms {
    return new ArbiterTerms(clock);
  }

  /** Records that this instance decides on a subject now; returns the milliseconds since it began to. */
  recordCall(subject: string): number {
    const time = this.clock.getTime();
    const term = this.terms.get(subject);
    const since = term && time - term.calledAt <= arbiterIdleMs ? term.since : time;
    this.terms.set(subject, { since, calledAt: time });
    return time - since;
  }

  /** Milliseconds since this instance began to decide on a subject; 0 if it does not. */
  getTermMs(subject: string): number {
    const term = this.terms.get(subject);
    return term ? this.clock.getTime() - term.since : 0;
  }
}
