/**
 * Placements of long prompts by other instances since the last view, as a reader relays them.
 * @module
 */
import type { EndpointWork } from "../endpoints/endpointWork.js";
import type { PlacementEntry } from "../fleet/memberMessages.js";

interface NumberedPlacement {
  readonly number: number;
  readonly entry: PlacementEntry;
}

/** Placements that are newer than the view that this instance uses. */
export class RecentPlacements {
  /** Incarnation of the reader whose view is used; other readers number placements differently. */
  private reader: string | undefined;
  private lastViewedNumber = 0;
  private placements: readonly NumberedPlacement[] = [];

  private constructor() {}

  static create(): RecentPlacements {
    return new RecentPlacements();
  }

  /** Records a reader's view that includes all placements up to a number. */
  recordView(reader: string, number: number): void {
    const isSame = reader === this.reader;
    this.placements = isSame ? this.placements.filter((placement) => placement.number > number) : [];
    this.reader = reader;
    this.lastViewedNumber = number;
  }

  /** Applies relayed placements, numbered from `first` on; returns whether any is newer than the view. */
  applyRelayed(reader: string, first: number, entries: readonly PlacementEntry[]): boolean {
    if (reader !== this.reader) return false;
    const numbered = entries.map((entry, index) => ({ number: first + index, entry }));
    const fresh = numbered.filter(({ number }) => number > this.lastViewedNumber);
    this.placements = [...this.placements, ...fresh];
    return fresh.length > 0;
  }

  /** Returns the placements as work by endpoint. */
  getWork(): EndpointWork {
    const work: Record<string, [number, number]> = {};
    for (const { entry } of this.placements) {
      const [endpoint, tokens] = entry;
      if (endpoint === "") continue;
      const known = (work[endpoint] ??= [0, 0]);
      known[0] += 1;
      known[1] += tokens;
    }
    return work;
  }
}
