/**
 * Decides whether the slots of a service are shared out by its arbiter: its endpoints crash if they refuse too much, or the service
 * has fewer slots than the fleet has instances, and its endpoints are nearly full or refuse requests.
 * @module
 */
import type { Clock, Logger, Timer } from "@gladewall/kernel";
import { maxReportAgeMs } from "@gladewall/policy";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { Service } from "../types.js";

/** Options of the decision. */
export interface SlotContentionOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: Pick<EndpointDirectory, "getOfService">;
  readonly getFleetSize: () => number;
  /** Returns the refusals a second that an endpoint of a service bears; omitted or undefined if any number. */
  readonly getRefusalLimit?: ((service: string) => number | undefined) | undefined;
}

/** Share of the slots that running and waiting requests take in a contended service. */
const contendedShare = 0.7;
/** Time for which a service stays contended after the last sign; bursts pause for shorter times. */
const holdMs = 3_000;

interface ContentionState {
  /** Time of the last sign: a report of nearly full endpoints, or a request that was refused because an endpoint was full. */
  signAt: number;
  /** Runs while the service counts as contended. */
  timer: Timer | undefined;
}

/** Knows which services are contended. */
export class SlotContention {
  private readonly states = new Map<string, ContentionState>();

  private constructor(private readonly options: SlotContentionOptions) {}

  static create(options: SlotContentionOptions): SlotContention {
    return new SlotContention(options);
  }

  /** Whether requests for the service need a slot of its arbiter now. */
  isContended(service: Service): boolean {
    const { clock, directory, getFleetSize, getRefusalLimit } = this.options;
    const time = clock.getTime();
    if (getRefusalLimit?.(service.name) !== undefined) {
      const state = this.getState(service.name);
      state.signAt = time;
      this.begin(service.name, state, 0);
      return true;
    }
    // Engines are placed by what their prompts find in memory, and wait there.
    if (service.engine) return false;
    let slots = 0;
    let reportedSlots = 0;
    let requests = 0;
    let hasReports = false;
    for (const endpoint of directory.getOfService(service.name)) {
      if (!endpoint.isUsable()) continue;
      slots += endpoint.record.slots;
      const report = endpoint.capacity.getReport();
      hasReports ||= report !== undefined;
      if (!report || time - report.at > maxReportAgeMs) continue;
      reportedSlots += endpoint.record.slots;
      requests += report.load.running + report.load.waiting;
    }
    if (!hasReports || slots >= getFleetSize()) return false;
    const state = this.getState(service.name);
    if (reportedSlots > 0 && requests >= reportedSlots * contendedShare) state.signAt = time;
    if (time - state.signAt >= holdMs) return false;
    this.begin(service.name, state, requests);
    return true;
  }

  /** Records that an endpoint of the service refused a request because it was full. */
  recordRejection(service: string): void {
    this.getState(service).signAt = this.options.clock.getTime();
  }

  close(): void {
    for (const { timer } of this.states.values()) timer?.cancel();
  }

  private begin(service: string, state: ContentionState, reported: number): void {
    if (state.timer) return;
    this.options.logger.info("slot.contention-begun", { service, reported });
    this.startEndTimer(service, state);
  }

  private startEndTimer(service: string, state: ContentionState): void {
    const { clock, logger } = this.options;
    const leftMs = state.signAt + holdMs - clock.getTime();
    state.timer = clock.startTimer(Math.max(1, leftMs), () => {
      state.timer = undefined;
      if (clock.getTime() - state.signAt < holdMs) this.startEndTimer(service, state);
      else logger.info("slot.contention-ended", { service });
    });
  }

  private getState(service: string): ContentionState {
    let state = this.states.get(service);
    if (!state) {
      state = { signAt: -Infinity, timer: undefined };
      this.states.set(service, state);
    }
    return state;
  }
}
