/**
 * Decides for each run on a leaving endpoint whether it finishes there or moves to another endpoint, which fetches the
 * run's cache or, if it has none, processes the prompt again.
 * @module
 */
import type { InstanceStatus } from "@gladewall/coordination";
import type { Clock } from "@gladewall/kernel";
import { DecisionRule, DecisionStage, RepeatRule } from "@gladewall/policy";
import type { DecisionWriter } from "./decisions.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import type { Endpoint, Fleet } from "./fleet.js";
import { type ActiveRequest, type RequestRegistry, StopReason } from "./requests.js";

/** Decides which runs on leaving endpoints are moved. */
export class LeavingRuns {
  private constructor(
    private readonly settings: EntrySettings["endpoints"],
    private readonly clock: Clock,
    private readonly requests: RequestRegistry,
    private readonly decisions: DecisionWriter,
    private readonly metrics: EntryMetrics,
    fleet: Fleet,
  ) {
    fleet.onLeaving((endpoint, view) => this.handleLeaving(endpoint, view));
  }

  static create(
    settings: EntrySettings["endpoints"],
    clock: Clock,
    requests: RequestRegistry,
    decisions: DecisionWriter,
    metrics: EntryMetrics,
    fleet: Fleet,
  ): LeavingRuns {
    return new LeavingRuns(settings, clock, requests, decisions, metrics, fleet);
  }

  /** Decides about the runs in order of priority, then of output, because runs with more output would lose more. */
  private handleLeaving(endpoint: Endpoint, status: InstanceStatus): void {
    const { id } = endpoint.load.record;
    const runs = this.requests.getOpen().filter((request) => request.run?.endpoint === id);
    runs.sort(
      (left, right) => right.envelope.priority - left.envelope.priority || right.log.end - left.log.end,
    );
    const reclaimAt = status.reclaimAt ?? this.clock.getTime() + this.settings.notice_assumed;
    for (const request of runs) this.decide(request, endpoint, reclaimAt - this.clock.getTime());
  }

  private decide(request: ActiveRequest, endpoint: Endpoint, remainingMs: number): void {
    const { envelope, log } = request;
    const neededMs = this.estimateRemainingMs(request);
    const inputs = {
      endpoint: endpoint.load.record.id,
      remaining: Math.round(remainingMs),
      needed: Math.round(neededMs),
    };
    const mayMove =
      envelope.repeat === RepeatRule.Allowed && envelope.model?.isContinuable === true && log.isWhole;
    if (!mayMove || neededMs + this.settings.move_margin <= remainingMs) {
      this.decisions.add(envelope.id, DecisionStage.Move, DecisionRule.LetFinish, inputs);
      return;
    }
    this.metrics.moves.add();
    const moved = { ...inputs, emitted: log.end };
    this.decisions.add(envelope.id, DecisionStage.Move, DecisionRule.MovedWithCache, moved);
    request.attemptStop.abort(StopReason.EndpointLeaving);
  }

  /**
   * Returns the estimated milliseconds to the end of the run at its rate so far: 0 for a web request, `Infinity` if the
   * run has no output yet, so that it is moved.
   */
  private estimateRemainingMs(request: ActiveRequest): number {
    const { envelope, log, firstChunkAt } = request;
    const left = (envelope.model?.outputTokens ?? 0) - log.end;
    if (!envelope.model) return 0;
    if (firstChunkAt === undefined || log.end === 0) return Infinity;
    return left * ((this.clock.getTime() - firstChunkAt) / log.end);
  }
}
