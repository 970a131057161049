/**
 * Counts of runs that began, by window and workspace: this instance's own and those that each peer last reported. Every
 * instance keeps all of them, so that any instance can report them after another one was killed.
 * @module
 */

/** Number of runs by workspace. */
export type WorkspaceCounts = Record<string, number>;

/** Number of runs by window and workspace, as instances send them to each other. */
export type WindowCounts = Record<number, WorkspaceCounts>;

/** Number of windows that are kept. */
const keptWindows = 8;

/** Counts of one incarnation of an instance. */
class InstanceCounts {
  readonly windows = new Map<number, WorkspaceCounts>();
}

/** Counts of all instances. */
export class UsageCounts {
  private readonly ownCounts = new InstanceCounts();
  private readonly peers = new Map<string, InstanceCounts>();

  private constructor() {}

  static create(): UsageCounts {
    return new UsageCounts();
  }

  /** Counts one run of a workspace that began at this instance. */
  add(window: number, workspace: string): void {
    const counts = this.ownCounts.windows.get(window) ?? {};
    counts[workspace] = (counts[workspace] ?? 0) + 1;
    this.ownCounts.windows.set(window, counts);
    removeOldWindows(this.ownCounts, window);
  }

  /** Returns this instance's counts of the `count` latest windows. */
  getOwnCounts(newest: number, count: number): WindowCounts {
    const result: WindowCounts = {};
    for (const [window, counts] of this.ownCounts.windows) {
      if (window > newest - count) result[window] = counts;
    }
    return result;
  }

  /** Merges the counts that one incarnation of a peer reports; counts only grow. */
  mergePeerCounts(incarnation: string, reported: WindowCounts): void {
    const instance = this.peers.get(incarnation) ?? new InstanceCounts();
    this.peers.set(incarnation, instance);
    for (const [window, counts] of Object.entries(reported)) {
      const known = instance.windows.get(Number(window));
      instance.windows.set(Number(window), known ? mergeCounts(known, counts) : counts);
      removeOldWindows(instance, Number(window));
    }
  }

  /** Returns the counts of the `count` latest windows by incarnation, this instance's own under the given key. */
  getIncarnations(ownIncarnation: string, newest: number, count: number): Record<string, WindowCounts> {
    const incarnations: Record<string, WindowCounts> = {};
    for (const [incarnation, instance] of [[ownIncarnation, this.ownCounts] as const, ...this.peers]) {
      const windows: WindowCounts = {};
      for (const [window, counts] of instance.windows) if (window > newest - count) windows[window] = counts;
      if (Object.keys(windows).length > 0) incarnations[incarnation] = windows;
    }
    return incarnations;
  }

  /** Returns a window's counts over all instances. */
  getTotal(window: number): WorkspaceCounts {
    const total: WorkspaceCounts = {};
    for (const instance of [this.ownCounts, ...this.peers.values()]) {
      for (const [workspace, count] of Object.entries(instance.windows.get(window) ?? {})) {
        total[workspace] = (total[workspace] ?? 0) + count;
      }
    }
    return total;
  }

  /** Removes incarnations of peers that reported nothing for the kept windows. */
  removeStalePeers(newest: number): void {
    for (const [incarnation, instance] of this.peers) {
      const latest = Math.max(...instance.windows.keys());
      if (latest <= newest - keptWindows) this.peers.delete(incarnation);
    }
  }
}

/** Merges two reports of one incarnation. Counts only grow, so that the higher count of each workspace is the later one. */
function mergeCounts(one: WorkspaceCounts, other: WorkspaceCounts): WorkspaceCounts {
  const merged = { ...one };
  for (const [workspace, count] of Object.entries(other))
    merged[workspace] = Math.max(merged[workspace] ?? 0, count);
  return merged;
}

function removeOldWindows(instance: InstanceCounts, newest: number): void {
  for (const window of instance.windows.keys()) {
    if (window <= newest - keptWindows) instance.windows.delete(window);
  }
}
