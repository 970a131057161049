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

/** Units that a request was charged. */
export interface QuotaCharge {
  readonly workspace: Workspace;
  readonly units: number;
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

  /** Charges a request; fails with `QuotaSpent`. */
  take(request: string, workspace: Workspace, units: number): Result<QuotaCharge, Failure> {
    const { admission, metrics } = this.options;
    this.show(workspace);
    const taken = admission.takeQuota(workspace, units);
    metrics.countQuota(workspace.name, taken.isOk() ? QuotaEvent.Charged : QuotaEvent.Refused, units);
    if (taken.isOk()) this.logTaken(request, workspace, units);
    return taken.map(() => ({ workspace, units }));
  }

  /** Ends a charge: what ran so often stays taken, what did not run is given back. */
  settle({ workspace, units }: QuotaCharge, runs: number, mayHaveRun: boolean): void {
    const { admission, metrics } = this.options;
    if (runs > 0) metrics.countQuota(workspace.name, QuotaEvent.Run, units * runs);
    if (mayHaveRun) return;
    metrics.countQuota(workspace.name, QuotaEvent.Returned, units);
    admission.returnQuota(workspace, units);
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
