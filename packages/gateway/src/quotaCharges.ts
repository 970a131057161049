/**
 * Charges of requests to the limits of their workspaces, and what became of them: counted by workspace, and logged where
 * little of a limit is left.
 * @module
 */
import type { Failure, Logger } from "@gladewall/kernel";
import type { Result } from "ts-results-es";
import type { Admission, QuotaState } from "./admission.js";
import { type GatewayMetrics, QuotaEvent } from "./gatewayMetrics.js";
import type { Workspace } from "./types.js";

/** Options of the charges. */
export interface QuotaChargesOptions {
  readonly admission: Admission;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Milliseconds since a reader told what the fleet has taken; undefined where none did. */
  readonly getViewAge: () => number | undefined;
}

/** What a request was charged: its units once for each of its runs. */
export interface RequestCharge {
  readonly request: string;
  readonly workspace: Workspace;
  /** Units of one run. */
  readonly units: number;
  /** Runs that were charged. */
  runs: number;
}

/** Share of the room from which on charges are logged: below it, no error of the count can matter. */
const loggedShare = 0.5;

/** Charges requests. */
export class QuotaCharges {
  /** Limited workspaces that were charged, as the configuration last had them. */
  private readonly shown = new Map<string, Workspace>();

  private constructor(private readonly options: QuotaChargesOptions) {}

  static create(options: QuotaChargesOptions): QuotaCharges {
    return new QuotaCharges(options);
  }

  /** Charges a request for its first run; fails with `QuotaSpent`. */
  take(request: string, workspace: Workspace, units: number): Result<RequestCharge, Failure> {
    this.show(workspace);
    return this.charge(request, workspace, units).map(() => ({ request, workspace, units, runs: 1 }));
  }

  /**
   * Charges a request for one more run; fails with `QuotaSpent`. Uncharged, runs whose answers were lost went beyond the
   * limit: 12 runs of a limit of 4, every answer lost; 1.18 of what is allowed, two of five lost (12 processes).
   */
  takeRepeat(charge: RequestCharge): Result<void, Failure> {
    const { request, workspace, units } = charge;
    const taken = this.charge(request, workspace, units);
    if (taken.isOk()) charge.runs += 1;
    return taken;
  }

  /** Ends a charge: what ran stays taken, what was charged and did not run is given back. */
  settle({ workspace, units, runs: charged }: RequestCharge, runs: number): void {
    const { admission, metrics } = this.options;
    if (runs > 0) metrics.countQuota(workspace.name, QuotaEvent.Run, units * runs);
    if (charged <= runs) return;
    const unused = units * (charged - runs);
    metrics.countQuota(workspace.name, QuotaEvent.Returned, unused);
    admission.returnQuota(workspace, unused);
  }

  private charge(request: string, workspace: Workspace, units: number): Result<void, Failure> {
    const { admission, metrics } = this.options;
    const taken = admission.takeQuota(workspace, units);
    metrics.countQuota(workspace.name, taken.isOk() ? QuotaEvent.Charged : QuotaEvent.Refused, units);
    if (taken.isOk()) this.logTaken(request, workspace, units);
    return taken;
  }

  private show(workspace: Workspace): void {
    const { name, ratePerSecond } = workspace;
    if (ratePerSecond <= 0) return;
    const isShown = this.shown.has(name);
    this.shown.set(name, workspace);
    if (isShown) return;
    const { admission, metrics } = this.options;
    const getState = (): QuotaState => admission.getQuotaState(this.shown.get(name) ?? workspace);
    metrics.showQuota(name, { getLevel: () => getState().level, getRoom: () => getState().room });
  }

  private logTaken(request: string, workspace: Workspace, units: number): void {
    if (workspace.ratePerSecond <= 0) return;
    const { level, known, room, share } = this.options.admission.getQuotaState(workspace);
    if (level < room * loggedShare) return;
    const viewAge = this.options.getViewAge();
    this.options.logger.debug("quota.taken", {
      request,
      workspace: workspace.name,
      units,
      level: Math.round(level),
      known: Math.round(known),
      room: Math.round(room),
      share,
      viewAgeMs: viewAge && Math.round(viewAge),
    });
  }
}
