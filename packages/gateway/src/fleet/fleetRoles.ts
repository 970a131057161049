/**
 * Chooses the readers: the few instances that read the platform's store and send its content to the others, in
 * a fleet of any size. All instances choose the same ones, namely those with the greatest capacity, ordered by
 * a hash of their names where the capacity is equal. An unreachable one is skipped for the next, so that no
 * list of readers is stored and no agreement is needed.
 *
 * Keepers remember what an instance that is killed would take along. In a large fleet these are the readers and the next instances in
 * the same order, because all readers may end at once; they are linked only while there is something to remember.
 *
 * It also decides which instances are collectors, which receive the reports of all instances: every instance
 * while the fleet is small (a full mesh), only the readers in a large fleet.
 * @module
 */
import { type Clock, hashText } from "@gladewall/kernel";

/** Options of the roles. */
export interface FleetRolesOptions {
  readonly clock: Clock;
  readonly ownName: string;
  /** Largest fleet in which every instance sends its reports to every other. */
  readonly largestMesh: number;
  /** Number of readers. */
  readonly count: number;
  /** Number of keepers, at least as many; as many as readers if omitted. */
  readonly keeperCount?: number;
  /** Whether there is something for keepers to remember; there is not if omitted. */
  readonly needsKeepers?: () => boolean;
  readonly getNames: () => Iterable<string>;
  readonly getCapacity: (name: string) => number;
  readonly isLinked: (name: string) => boolean;
}

/** Time in which a link is expected to be established; after it, the next instance is chosen in addition. */
const linkTimeoutMs = 800;

/** Chooses the readers, and determines whether this instance is a reader or a collector. */
export class FleetRoles {
  private readers: readonly string[] = [];
  private keepers: readonly string[] = [];
  private ranking: readonly string[] = [];
  /** Time since which each chosen instance has had no link. */
  private readonly unlinkedSince = new Map<string, number>();

  private constructor(private readonly options: FleetRolesOptions) {}

  static create(options: FleetRolesOptions): FleetRoles {
    return new FleetRoles(options);
  }

  /** Whether the fleet is so small that every instance is linked with every other. */
  get isMesh(): boolean {
    return this.ranking.length <= this.options.largestMesh;
  }

  /** Whether this instance receives the reports of all instances. */
  get isCollector(): boolean {
    return this.isMesh || this.isReader;
  }

  /** Whether this instance reads the store on behalf of the fleet. */
  get isReader(): boolean {
    return this.readers.includes(this.options.ownName);
  }

  /** Instances to link with, including those that are unreachable now. */
  getLinkTargets(): readonly string[] {
    return this.isMesh ? this.ranking : this.keepers;
  }

  /** The keepers, including this instance if it is one, and those that are unreachable now. */
  getKeepers(): readonly string[] {
    return this.isMesh ? this.ranking : this.keepers;
  }

  /** The readers, including this instance if it is one, and those that are unreachable now. */
  getReaders(): readonly string[] {
    return this.readers;
  }

  /** The readers that are linked. */
  getLinkedReaders(): readonly string[] {
    return this.readers.filter((name) => this.options.isLinked(name));
  }

  /** Applies a new list of members. */
  updateMembers(): void {
    const { ownName, getNames, getCapacity } = this.options;
    const names = new Set([...getNames(), ownName]);
    const ranked = [...names].map((name) => ({ name, capacity: getCapacity(name), hash: hashText(name) }));
    ranked.sort((one, other) => other.capacity - one.capacity || other.hash - one.hash);
    this.ranking = ranked.map(({ name }) => name);
    this.chooseReaders();
  }

  /** Chooses the readers and keepers again, by the links that are up; returns whether the choice has changed. */
  chooseReaders(): boolean {
    const { count, keeperCount = count, needsKeepers } = this.options;
    const readers = this.choose(count);
    const keepers = needsKeepers?.() === true ? this.choose(keeperCount) : readers;
    for (const name of this.unlinkedSince.keys()) {
      if (!keepers.includes(name)) this.unlinkedSince.delete(name);
    }
    const isChanged = readers.join() !== this.readers.join() || keepers.join() !== this.keepers.join();
    this.readers = readers;
    this.keepers = keepers;
    return isChanged;
  }

  /** Returns the first instances in order, as many that a number of them can be reached. */
  private choose(count: number): readonly string[] {
    const chosen: string[] = [];
    let reachable = 0;
    for (const name of this.ranking) {
      if (reachable >= count) break;
      chosen.push(name);
      if (name === this.options.ownName || !this.isUnreachable(name)) reachable += 1;
    }
    return chosen;
  }

  private isUnreachable(name: string): boolean {
    if (this.options.isLinked(name)) {
      this.unlinkedSince.delete(name);
      return false;
    }
    const time = this.options.clock.getTime();
    const since = this.unlinkedSince.get(name) ?? time;
    this.unlinkedSince.set(name, since);
    return time - since > linkTimeoutMs;
  }
}
