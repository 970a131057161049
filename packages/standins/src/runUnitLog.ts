/**
 * What endpoints ran, by workspace: units in an exact sliding window, so that a test judges a limit as an operator sees it.
 * @module
 */

interface RunEntry {
  readonly at: number;
  readonly units: number;
}

/** Units that ran in one window, and the time at which it ends. */
export interface WindowSum {
  readonly units: number;
  readonly at: number;
}

/** Runs of all endpoints of one test; times are milliseconds of any clock. */
export class RunUnitLog {
  private readonly runs = new Map<string, RunEntry[]>();

  private constructor() {}

  static create(): RunUnitLog {
    return new RunUnitLog();
  }

  /** Counts a run that began at a time. */
  record(workspace: string, at: number, units: number): void {
    let runs = this.runs.get(workspace);
    if (!runs) this.runs.set(workspace, (runs = []));
    runs.push({ at, units });
  }

  /** Returns the largest sum of a workspace over any span of a length. */
  getMax(workspace: string, windowMs: number): WindowSum {
    const runs = [...(this.runs.get(workspace) ?? [])].sort((one, other) => one.at - other.at);
    let max: WindowSum = { units: 0, at: 0 };
    let sum = 0;
    let oldest = 0;
    for (const { at, units } of runs) {
      sum += units;
      while (runs[oldest]!.at < at - windowMs) sum -= runs[oldest++]!.units;
      if (sum > max.units) max = { units: sum, at };
    }
    return max;
  }

  /** Returns the units of a workspace that ran from one time to another. */
  getSum(workspace: string, from: number, to: number): number {
    const runs = this.runs.get(workspace) ?? [];
    return runs.reduce((sum, { at, units }) => (at >= from && at < to ? sum + units : sum), 0);
  }
}
