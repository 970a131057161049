/**
 * Determines how many instances may be serving, and the share of them whose counts are known here.
 * @module
 */
import type { SilentPeers } from "./silentPeers.js";
import type { Clock } from "@gladewall/kernel";

/** Options of the share. */
export interface FleetShareOptions {
  readonly clock: Clock;
  readonly ownName: string;
  readonly silentPeers: Pick<SilentPeers, "mayBeServing">;
  /** Returns the names of the listed instances. */
  readonly getNames: () => Iterable<string>;
  /** Returns their number, including this instance. */
  readonly getListedSize: () => number;
  readonly isLinked: (name: string) => boolean;
  /** Whether the list of members is complete: the own record is listed, and no new instance was listed for a while. */
  readonly isListKnown: () => boolean;
  /** Number of instances that the store remembers beside the list; undefined if it remembers none. */
  readonly getKeptSize: () => number | undefined;
}

/** The instances that may be serving. */
export class FleetShare {
  /** Whether the list has been complete once since the start: from then on it shows who joins and who is gone. */
  private wasListKnown = false;

  private constructor(private readonly options: FleetShareOptions) {}

  static create(options: FleetShareOptions): FleetShare {
    return new FleetShare(options);
  }

  /**
   * Number of instances that may be serving, including this one: those listed, or as many as the store remembers until the list is
   * known. Instances that start together after the leases of all records have ended list nobody at first, and each would take itself
   * for the only one.
   */
  get size(): number {
    return this.countServing(this.options.getListedSize());
  }

  /**
   * Share of the fleet whose counts are known, including this instance: all instances except those that may be serving without their
   * reports arriving here. A peer whose connection was closed has ended; one that fell silent may only be cut off.
   */
  getKnown(): number {
    const { clock, ownName, silentPeers, getNames, isLinked } = this.options;
    const time = clock.getTime();
    let listed = 0;
    let silent = 0;
    for (const name of getNames()) {
      listed += 1;
      if (name !== ownName && silentPeers.mayBeServing(name, time, isLinked(name))) silent += 1;
    }
    return Math.max(1, listed - silent) / this.countServing(listed);
  }

  private countServing(listed: number): number {
    const { isListKnown, getKeptSize } = this.options;
    this.wasListKnown ||= isListKnown();
    return Math.max(1, listed, this.wasListKnown ? 1 : (getKeptSize() ?? 1));
  }
}
