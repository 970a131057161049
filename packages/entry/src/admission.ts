/**
 * Admission: the row that decides, its limits, and whether the latency target can still be met.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { getRowName, RowGate, type RowShare, type TableRow } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatcher } from "./dispatcher.js";
import type { EntrySettings } from "./entrySettings.js";

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly service: string;
  /** Prompt tokens; 0 for web services. */
  readonly promptTokens: number;
  /** Tokens charged against the row's rate. */
  readonly work: number;
}

/** An admitted request's hold on its row. */
export interface Admission {
  /** Gives the row's concurrency back, and tokens that were charged but not used. */
  leave(unused: number): void;
}

/** Counts an arrival of so many tokens and returns this entry's share of its row. */
export type ShareSource = (row: TableRow, active: number, tokens: number) => RowShare;

const noEndpointRetryAfter = 1_000;
const leastRetryAfter = 1;

/** Decides who comes in. */
export class AdmissionControl {
  private readonly gates = new Map<string, RowGate>();

  private constructor(
    private readonly settings: EntrySettings["requests"],
    private readonly clock: Clock,
    private readonly dispatcher: Dispatcher,
    private readonly getShare: ShareSource,
  ) {}

  static create(
    settings: EntrySettings["requests"],
    clock: Clock,
    dispatcher: Dispatcher,
    getShare: ShareSource,
  ): AdmissionControl {
    return new AdmissionControl(settings, clock, dispatcher, getShare);
  }

  /** Admits a request under its row or says why not. */
  admit(row: TableRow, request: AdmissionRequest): Result<Admission, Failure> {
    const late = this.findLateness(row, request);
    if (late) return Err(late);
    const gate = this.getGate(row, getRowName(row), request.work);
    const entered = gate.tryEnter(request.work);
    if (entered.isErr()) return entered;
    let isInside = true;
    const leave = (unused: number): void => {
      if (isInside) gate.leave(unused);
      isInside = false;
    };
    return Ok({ leave });
  }

  /** Requests of each row that are inside. */
  getActive(): ReadonlyMap<string, number> {
    return new Map([...this.gates].map(([name, gate]) => [name, gate.getActive()]));
  }

  /** Refuses what could only be late: the caller learns now, and when to come back. */
  private findLateness(row: TableRow, request: AdmissionRequest): Failure | undefined {
    const wait = this.dispatcher.getExpectedWait(request.service, row.priority, request.promptTokens);
    if (wait === Infinity) {
      return Failure.create(FailureCode.NoEndpoint, { service: request.service }, noEndpointRetryAfter);
    }
    if (!this.settings.refuse_late || wait <= row.latencyTarget) return undefined;
    // A request that would be late even on idle endpoints is not refused: coming back would not help it.
    const isBacklog = this.dispatcher.hasBacklog(request.service);
    if (!isBacklog) return undefined;
    const values = { wait: Math.round(wait), target: row.latencyTarget };
    return Failure.create(
      FailureCode.TargetUnreachable,
      values,
      Math.max(leastRetryAfter, wait - row.latencyTarget),
    );
  }

  private getGate(row: TableRow, rowName: string, tokens: number): RowGate {
    let gate = this.gates.get(rowName);
    const share = this.getShare(row, gate?.getActive() ?? 0, tokens);
    if (gate) gate.setShare(share);
    else this.gates.set(rowName, (gate = RowGate.create(this.clock, rowName, share)));
    return gate;
  }
}
