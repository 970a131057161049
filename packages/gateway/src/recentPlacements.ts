/**
 * Long prompts that others have sent to endpoints since the last view, as a reader hands them on.
 * @module
 */
import type { EndpointWork } from "./endpointWork.js";
import type { PlacementEntry } from "./memberMessages.js";

interface NumberedPlacement {
  readonly number: number;
  readonly entry: PlacementEntry;
}

/** An instance's part: what came after the view that it goes by. */
export class RecentPlacements {
  /** Life of the reader whose view is gone by; numbers of others mean nothing beside it. */
  private reader: string | undefined;
  private lastViewedNumber = 0;
  private placements: readonly NumberedPlacement[] = [];

  private constructor() {}

  static create(): RecentPlacements {
    return new RecentPlacements();
  }

  /** Takes note of a view by a reader that includes all placements up to a number. */
  noteView(reader: string, number: number): void {
    const isSame = reader === this.reader;
    this.placements = isSame ? this.placements.filter((placement) => placement.number > number) : [];
    this.reader = reader;
    this.lastViewedNumber = number;
  }

  /** Takes what a reader hands on; returns whether anything is new beside the view. */
  takeRelayed(reader: string, first: number, entries: readonly PlacementEntry[]): boolean {
    if (reader !== this.reader) return false;
    const numbered = entries.map((entry, index) => ({ number: first + index, entry }));
    const fresh = numbered.filter(({ number }) => number > this.lastViewedNumber);
    this.placements = [...this.placements, ...fresh];
    return fresh.length > 0;
  }

  /** Returns them as work at endpoints. */
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
