/**
 * Records decisions: each becomes a typed record in the ring and, where somebody listens, a copy for the backup.
 * @module
 */
import type { Clock, Failure, FailureCode } from "@gladewall/kernel";
import type { PlacementAlternative, DecisionRecord, DecisionRule, DecisionStage } from "@gladewall/policy";
import type { ExplainRing } from "./explainRing.js";

/** Figures and names of a decision. */
export type DecisionInputs = Readonly<Record<string, string | number>>;

/** Writes decision records. */
export class DecisionWriter {
  private constructor(
    private readonly entry: string,
    private readonly clock: Clock,
    private readonly ring: ExplainRing,
  ) {}

  static create(entry: string, clock: Clock, ring: ExplainRing): DecisionWriter {
    return new DecisionWriter(entry, clock, ring);
  }

  /** Records a decision about a request. */
  add(
    request: string,
    stage: DecisionStage,
    rule: DecisionRule,
    inputs: DecisionInputs,
    alternatives: readonly PlacementAlternative[] = [],
  ): void {
    this.put(request, stage, rule, inputs, alternatives, undefined);
  }

  /** Records a decision that rests on a failure. */
  addFailure(
    request: string,
    stage: DecisionStage,
    rule: DecisionRule,
    failure: Failure,
    inputs: DecisionInputs = {},
  ): void {
    this.put(request, stage, rule, { ...inputs, text: failure.text }, [], failure.code);
  }

  private put(
    request: string,
    stage: DecisionStage,
    rule: DecisionRule,
    inputs: DecisionInputs,
    alternatives: readonly PlacementAlternative[],
    failure: FailureCode | undefined,
  ): void {
    const time = this.clock.getWallTime();
    const decision: DecisionRecord = { stage, rule, time, entry: this.entry, inputs, alternatives, failure };
    this.ring.add(request, decision);
  }
}
