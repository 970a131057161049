/**
 * Records the decisions about requests as typed records in the decision history. From there the backup writer also
 * sends them to the backups.
 * @module
 */
import type { Clock, Failure, FailureCode } from "@gladewall/kernel";
import type { PlacementAlternative, DecisionRecord, DecisionRule, DecisionStage } from "@gladewall/policy";
import type { DecisionHistory } from "./decisionHistory.js";

/** Numbers and names that a decision is based on. */
export type DecisionInputs = Readonly<Record<string, string | number>>;

/** Writes decision records. */
export class DecisionWriter {
  private constructor(
    private readonly entry: string,
    private readonly clock: Clock,
    private readonly history: DecisionHistory,
  ) {}

  static create(entry: string, clock: Clock, history: DecisionHistory): DecisionWriter {
    return new DecisionWriter(entry, clock, history);
  }

  /** Records a decision about a request. */
  add(
    request: string,
    stage: DecisionStage,
    rule: DecisionRule,
    inputs: DecisionInputs,
    alternatives: readonly PlacementAlternative[] = [],
  ): void {
    this.write(request, stage, rule, inputs, alternatives, undefined);
  }

  /** Records a decision that is based on a failure. */
  addFailure(
    request: string,
    stage: DecisionStage,
    rule: DecisionRule,
    failure: Failure,
    inputs: DecisionInputs = {},
  ): void {
    this.write(request, stage, rule, { ...inputs, text: failure.text }, [], failure.code);
  }

  private write(
    request: string,
    stage: DecisionStage,
    rule: DecisionRule,
    inputs: DecisionInputs,
    alternatives: readonly PlacementAlternative[],
    failure: FailureCode | undefined,
  ): void {
    const time = this.clock.getWallTime();
    const decision: DecisionRecord = { stage, rule, time, entry: this.entry, inputs, alternatives, failure };
    this.history.add(request, decision);
  }
}
