/**
 * Runs that began, by window and tenant: this node's own and what each peer last told. Every node keeps all of them,
 * so that any node can report after another was killed.
 * @module
 */

/** Counts by tenant. */
export type TenantCounts = Record<string, number>;

/** Counts by window, as they are passed between nodes. */
export type WindowCounts = Record<number, TenantCounts>;

/** Windows that are kept. */
const keptWindows = 8;

/** Counts of one node's one life. */
class NodeCounts {
  readonly windows = new Map<number, TenantCounts>();
}

/** Counts of all nodes. */
export class UsageCounts {
  private readonly own = new NodeCounts();
  private readonly peers = new Map<string, NodeCounts>();

  private constructor() {}

  static create(): UsageCounts {
    return new UsageCounts();
  }

  /** Counts one run of a tenant that began in a window here. */
  add(window: number, tenant: string): void {
    const counts = this.own.windows.get(window) ?? {};
    counts[tenant] = (counts[tenant] ?? 0) + 1;
    this.own.windows.set(window, counts);
    forgetOld(this.own, window);
  }

  /** Returns this node's counts of the latest windows. */
  getOwn(newest: number, count: number): WindowCounts {
    const result: WindowCounts = {};
    for (const [window, counts] of this.own.windows) {
      if (window > newest - count) result[window] = counts;
    }
    return result;
  }

  /** Takes what one life of a peer tells of itself; counts only grow. */
  takePeer(life: string, told: WindowCounts): void {
    const node = this.peers.get(life) ?? new NodeCounts();
    this.peers.set(life, node);
    for (const [window, counts] of Object.entries(told)) {
      const known = node.windows.get(Number(window));
      node.windows.set(Number(window), known ? mergeCounts(known, counts) : counts);
      forgetOld(node, Number(window));
    }
  }

  /** Returns the counts of the latest windows by life, this node's under the name it is given. */
  getLives(ownLife: string, newest: number, count: number): Record<string, WindowCounts> {
    const lives: Record<string, WindowCounts> = {};
    for (const [life, node] of [[ownLife, this.own] as const, ...this.peers]) {
      const windows: WindowCounts = {};
      for (const [window, counts] of node.windows) if (window > newest - count) windows[window] = counts;
      if (Object.keys(windows).length > 0) lives[life] = windows;
    }
    return lives;
  }

  /** Returns a window's counts over all nodes. */
  getTotal(window: number): TenantCounts {
    const total: TenantCounts = {};
    for (const node of [this.own, ...this.peers.values()]) {
      for (const [tenant, count] of Object.entries(node.windows.get(window) ?? {})) {
        total[tenant] = (total[tenant] ?? 0) + count;
      }
    }
    return total;
  }

  /** Forgets lives of peers that told nothing of late windows. */
  forgetPeers(newest: number): void {
    for (const [life, node] of this.peers) {
      const latest = Math.max(...node.windows.keys());
      if (latest <= newest - keptWindows) this.peers.delete(life);
    }
  }
}

/** Counts of one life only grow: of two tellings, the higher figure of each tenant is the later one. */
function mergeCounts(one: TenantCounts, other: TenantCounts): TenantCounts {
  const merged = { ...one };
  for (const [tenant, count] of Object.entries(other)) merged[tenant] = Math.max(merged[tenant] ?? 0, count);
  return merged;
}

function forgetOld(node: NodeCounts, newest: number): void {
  for (const window of node.windows.keys()) {
    if (window <= newest - keptWindows) node.windows.delete(window);
  }
}
