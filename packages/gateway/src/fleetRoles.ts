/**
 * Which instances do for all what need not be done by each. A few readers ask the platform's store and hand on what it
 * holds, in a fleet of any size: they are the same for all instances, those that can carry most, by a hash where they
 * are alike. One that can't be reached is passed over for the next, so no list of them is kept anywhere and nothing is
 * agreed on. While the fleet is small, every instance hears every other's reports; in a large one only the readers do.
 * @module
 */
import { type Clock, hashText } from "@gladewall/kernel";

/** Options of the choice. */
export interface FleetRolesOptions {
  readonly clock: Clock;
  readonly own: string;
  /** Largest fleet in which every instance hears every other. */
  readonly largestMesh: number;
  /** Readers of the store. */
  readonly count: number;
  readonly getNames: () => Iterable<string>;
  readonly getCapacity: (name: string) => number;
  readonly isLinked: (name: string) => boolean;
}

/** Time for a link to come up, after which the next instance is asked too. */
const linkTimeoutMs = 800;

/** Chooses the readers, and knows who hears the whole fleet. */
export class FleetRoles {
  private readers: readonly string[] = [];
  private ranking: readonly string[] = [];
  /** Since when each instance that is wanted has had no link. */
  private readonly unlinkedSince = new Map<string, number>();

  private constructor(private readonly options: FleetRolesOptions) {}

  static create(options: FleetRolesOptions): FleetRoles {
    return new FleetRoles(options);
  }

  /** Whether the fleet is so small that every instance hears every other. */
  get isMesh(): boolean {
    return this.ranking.length <= this.options.largestMesh;
  }

  /** Whether this instance hears the whole fleet. */
  get isCollector(): boolean {
    return this.isMesh || this.isReader;
  }

  /** Whether this instance asks the store for others. */
  get isReader(): boolean {
    return this.readers.includes(this.options.own);
  }

  /** Instances to be linked with; those that can't be reached now are among them. */
  getLinkTargets(): readonly string[] {
    return this.isMesh ? this.ranking : this.readers;
  }

  /** Readers, this instance among them where it is one; those that can't be reached now are among them. */
  getReaders(): readonly string[] {
    return this.readers;
  }

  /** Readers that can be asked. */
  getLinkedReaders(): readonly string[] {
    return this.readers.filter((name) => this.options.isLinked(name));
  }

  /** Takes the fleet's new list. */
  setFleet(): void {
    const { own, getNames, getCapacity } = this.options;
    const names = new Set([...getNames(), own]);
    const ranked = [...names].map((name) => ({ name, capacity: getCapacity(name), hash: hashText(name) }));
    ranked.sort((one, other) => other.capacity - one.capacity || other.hash - one.hash);
    this.ranking = ranked.map(({ name }) => name);
    this.chooseReaders();
  }

  /** Chooses the readers anew, by the links that are up; returns whether the choice has changed. */
  chooseReaders(): boolean {
    const { own, count } = this.options;
    const chosen: string[] = [];
    let reachable = 0;
    for (const name of this.ranking) {
      if (reachable >= count) break;
      chosen.push(name);
      if (name === own || !this.isUnreachable(name)) reachable += 1;
    }
    for (const name of this.unlinkedSince.keys()) {
      if (!chosen.includes(name)) this.unlinkedSince.delete(name);
    }
    const isChanged = chosen.join() !== this.readers.join();
    this.readers = chosen;
    return isChanged;
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
