/**
 * Compares the results that callers saw with the endpoints' own records of what they ran, and reports each violation of
 * a guarantee.
 * @module
 */
import { Outcome } from "@gladewall/kernel";
import { getFullText, type RunRecord, RunState, type WebRecord } from "@gladewall/standins";
import {
  type CallerRequest,
  CallerRequestKind,
  type ViolationCounts,
  type CallerResult,
  ResultKind,
} from "./types.js";

/** Records of all runs at engines and all calls of web services. */
export interface EndpointRecords {
  readonly runs: readonly RunRecord[];
  readonly calls: readonly WebRecord[];
}

/** A violated guarantee, with the details needed to find its cause. */
export interface Violation {
  readonly promise: keyof ViolationCounts;
  readonly told: CallerResult;
  readonly detail: string;
}

/** Result of a check: counts of violations, of complete responses and of problems. */
export interface CheckResult {
  readonly violations: ViolationCounts;
  readonly findings: readonly Violation[];
  readonly complete: number;
  readonly problems: number;
  /** Number of problems whose outcome is "unknown" or "ran". */
  readonly uncertain: number;
}

const runOnceKinds: ReadonlySet<CallerRequestKind> = new Set([
  CallerRequestKind.Draft,
  CallerRequestKind.Booking,
]);

/** Checks every guarantee for each result. */
export function checkGuarantees(results: readonly CallerResult[], records: EndpointRecords): CheckResult {
  const violations: ViolationCounts = { lost: 0, doubled: 0, foreign: 0, cut: 0, notRunButRan: 0 };
  const findings: Violation[] = [];
  const counts = countRuns(records);
  for (const result of results) {
    for (const violation of findViolations(result, counts.get(result.ask.mark) ?? 0)) {
      violations[violation.promise] += 1;
      findings.push(violation);
    }
  }
  const problems = results.filter((result) => result.verdict === ResultKind.Problem);
  return {
    violations,
    findings,
    complete: results.filter((result) => result.verdict === ResultKind.Complete).length,
    problems: problems.length,
    uncertain: problems.filter((result) => result.outcome !== Outcome.NotRun).length,
  };
}

/** Returns the total number of violations. */
export function countViolations(counts: ViolationCounts): number {
  return counts.lost + counts.doubled + counts.foreign + counts.cut + counts.notRunButRan;
}

/** Counts how often the endpoints ran the request of each mark. */
function countRuns(records: EndpointRecords): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  const add = (mark: string): void => void counts.set(mark, (counts.get(mark) ?? 0) + 1);
  for (const run of records.runs) {
    // A run that was cancelled while it was queued at the endpoint emitted nothing and does not count as run.
    const didWork =
      run.position > run.start || run.state === RunState.Running || run.state === RunState.Finished;
    if (didWork) add(run.prompt.replace(/^user: /, ""));
  }
  for (const call of records.calls)
    add(call.method === "POST" ? call.body : call.path.replace("/pages/", ""));
  return counts;
}

function findViolations(result: CallerResult, runs: number): readonly Violation[] {
  const findings: Violation[] = [];
  const add = (promise: keyof ViolationCounts, detail: string): void =>
    void findings.push({ promise, told: result, detail });
  if (result.verdict === ResultKind.TimedOut) add("lost", `no final answer after ${result.returns} returns`);
  if (runOnceKinds.has(result.ask.kind) && runs > 1) add("doubled", `ran ${runs} times`);
  const isReportedNotRun = result.verdict === ResultKind.Problem && result.outcome === Outcome.NotRun;
  if (isReportedNotRun && runs > 0) add("notRunButRan", `ran ${runs} times, code ${result.code}`);
  if (result.verdict !== ResultKind.Complete) return findings;
  const expected = getExpectedText(result.ask);
  if (result.text === expected) return findings;
  const isPrefix = expected.startsWith(result.text);
  add(isPrefix ? "cut" : "foreign", `got ${JSON.stringify(result.text.slice(0, 80))}`);
  return findings;
}

function getExpectedText(request: CallerRequest): string {
  if (request.kind === CallerRequestKind.Booking) return request.mark;
  if (request.kind === CallerRequestKind.Page) return `/pages/${request.mark}`;
  return getFullText(`user: ${request.mark}`, request.outputTokens);
}
