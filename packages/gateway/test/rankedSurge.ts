/**
 * Simulates a workspace that sends several times its usual traffic for some seconds, with requests of three ranks. Refused callers
 * return once, after the time that they are told.
 * @module
 */
import { Failure } from "@gladewall/kernel";
import { endsAt, leftMs, LimitedFleet, type Member, stepMs, surgeAt } from "./limitedFleet.js";
import { baselineSurge, type LimitScenario } from "./limitScenarios.js";

/** Traffic of one rank. */
interface RankTraffic {
  readonly rank: number;
  /** Name of the route; not sent if left out, as by earlier builds. */
  readonly route?: string;
  readonly units: number;
  /** Part of the workspace's units. */
  readonly part: number;
}

/** What is simulated. */
export interface SurgeScenario extends LimitScenario {
  readonly traffic: readonly RankTraffic[];
  /** Units of a request differ from those of its rank by up to this share. */
  readonly sizeSpread: number;
  /** Share of the instances that run an earlier build, which does not send the rank. */
  readonly olderShare: number;
  /** Share of the refused callers that return. */
  readonly returnShare: number;
}

/** Result of one rank during the surge; a request counts at the time of its first attempt. */
export interface RankResult {
  requestedUnits: number;
  admittedUnits: number;
  returns: number;
  refusedAgain: number;
}

/** The result of a scenario. */
export interface SurgeResult {
  readonly ranks: readonly RankResult[];
  /** Units that ran from the beginning of the surge until one second after its end. */
  readonly ranUnits: number;
  /** Greatest share of the allowed units that ran in any window; 1 is all of them. */
  readonly maxShare: number;
  /** Share of the returned requests that were refused again. */
  readonly refusedAgainShare: number;
  /** Requests refused before the surge. */
  readonly refusedBefore: number;
  readonly orderRefusals: number;
}

export const surgeMs = 6_000;
const windowMs = 8_000;
const tolerance = { slack: 140_000, overshoot: 0.1 };

/** A surge to 6.2 times the usual traffic, which takes 0.45 of the limit. */
export const baselineRankedSurge: SurgeScenario = {
  ...baselineSurge,
  baseLoadShare: 0.45,
  surgeLoadShare: 0.45 * 6.2,
  traffic: [
    { rank: 0, units: 2_400, part: 0.2 },
    { rank: 1, units: 4_000, part: 0.2 },
    { rank: 2, units: 9_000, part: 0.6 },
  ],
  sizeSpread: 0.2,
  olderShare: 0,
  returnShare: 1,
};

class RankedSurge extends LimitedFleet {
  private readonly results: RankResult[];
  private refusedBefore = 0;

  constructor(private readonly surge: SurgeScenario) {
    super(surge);
    this.results = surge.traffic.map(() => ({
      requestedUnits: 0,
      admittedUnits: 0,
      returns: 0,
      refusedAgain: 0,
    }));
  }

  async play(): Promise<SurgeResult> {
    this.scheduleFaults();
    const { traffic, ratePerSecond, baseLoadShare, surgeLoadShare } = this.surge;
    while (this.clock.getTime() < endsAt) {
      await this.clock.advance(stepMs);
      const load = this.isSurge() ? surgeLoadShare : baseLoadShare;
      traffic.forEach(({ units, part }, index) => {
        if (this.getRandom() >= ((ratePerSecond * load * part) / units / 1_000) * stepMs) return;
        const factor = 1 + this.surge.sizeSpread * (2 * this.getRandom() - 1);
        void this.serveRanked(index, Math.round(units * factor), this.isSurge(), false);
      });
    }
    const allowed =
      ((ratePerSecond * windowMs) / 1_000 + this.workspace.burst) * (1 + tolerance.overshoot) +
      tolerance.slack;
    const sum = (key: "returns" | "refusedAgain"): number =>
      this.results.reduce((all, rank) => all + rank[key], 0);
    return {
      ranks: this.results,
      ranUnits: this.runs.getSum("w", surgeAt, surgeAt + surgeMs + 1_000),
      maxShare: this.runs.getMax("w", windowMs).units / allowed,
      refusedAgainShare: sum("refusedAgain") / Math.max(1, sum("returns")),
      refusedBefore: this.refusedBefore,
      orderRefusals: this.orderRefusals,
    };
  }

  private isSurge(): boolean {
    const time = this.clock.getTime();
    return time >= surgeAt && time < surgeAt + surgeMs;
  }

  private async serveRanked(index: number, units: number, counts: boolean, isReturn: boolean): Promise<void> {
    const member = this.pickMember();
    if (!member) return;
    const { rank, route } = this.surge.traffic[index]!;
    const result = this.results[index]!;
    if (counts && !isReturn) result.requestedUnits += units;
    if (isReturn) result.returns += 1;
    const isOlder = Number(member.name.slice(1)) < this.surge.olderShare * this.surge.instances;
    const request = { request: "request", workspace: this.workspace, units, leftMs };
    const charge = await member.charges.take(
      isOlder ? request : { ...request, rank, ...(route !== undefined && { route }) },
    );
    if (charge.isOk()) {
      this.recordRun(member, units);
      if (counts) result.admittedUnits += units;
      return;
    }
    if (this.clock.getTime() < surgeAt) this.refusedBefore += 1;
    if (isReturn) result.refusedAgain += 1;
    else this.scheduleReturn(charge.error, () => void this.serveRanked(index, units, counts, true));
  }

  private scheduleReturn({ retryAfterMs }: Failure, act: () => void): void {
    if (this.getRandom() < this.surge.returnShare) this.clock.startTimer(retryAfterMs ?? 0, act);
  }

  private pickMember(): Member | undefined {
    const member = this.members.get(`i${Math.floor(this.getRandom() * this.surge.instances)}`);
    return member && member.pausedUntil <= this.clock.getTime() ? member : undefined;
  }
}

/** Runs a scenario on one workspace's limit. */
export function runRankedSurge(scenario: SurgeScenario): Promise<SurgeResult> {
  return new RankedSurge(scenario).play();
}
