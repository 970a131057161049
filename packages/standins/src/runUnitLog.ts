/**
 * Records the units that endpoints ran for each workspace, and sums them over exact sliding windows. With it a test
 * checks a limit as an operator sees it.
 * @module
 */

/** One run: its start time and its units. */
interface RunEntry {
  readonly at: number;
  readonly units: number;
}

/** Units that ran in one window, and the end of the window. */
export interface WindowSum {
  readonly units: number;
  readonly at: number;
}

/** The runs at all endpoints of one test; times are in milliseconds of any clock. */
export class RunUnitLog {
  private readonly runs = new Map<string, RunEntry[]>();

  private constructor() {}

  static create(): RunUnitLog {
    return new RunUnitLog();
  }

  /** Records a run that began at a time. */
  record(workspace: string, at: number, units: number): void {
    let runs = this.runs.get(workspace);
    if (!runs) this.runs.set(workspace, (runs = []));
    runs.push({ at, units });
  }

  /** Returns the largest sum of a workspace over any window of a length. */
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

  /** Returns the sum of a workspace from one time (included) to another (excluded). */
  getSum(workspace: string, from: number, to: number): number {
    const runs = this.runs.get(workspace) ?? [];
    return runs.reduce((sum, { at, units }) => (at >= from && at < to ? sum + units : sum), 0);
  }
}
