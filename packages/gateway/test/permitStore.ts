/**
 * The item of the platform's store that holds limits, for simulated fleets: instances read what was written a moment later.
 * @module
 */
import type { MetadataStore, StoreItem, StorePosition, StoreTransaction } from "@gladewall/gateway";
import type { Failure } from "@gladewall/kernel";
import { Ok, type Result } from "ts-results-es";
import type { StepClock } from "./stepClock.js";

/** Time until a change of the store has reached the instances, milliseconds. */
const watchMs = 130;

/** The item, and the number of its writes. */
export class PermitStore implements Pick<MetadataStore, "transact"> {
  item: StoreItem | undefined;
  writes = 0;

  private constructor(
    private readonly clock: StepClock,
    private readonly onWritten: () => void,
  ) {}

  /** `onWritten` is called when the instances read what was written. */
  static create(clock: StepClock, onWritten: () => void): PermitStore {
    return new PermitStore(clock, onWritten);
  }

  async transact({ put: [put] }: StoreTransaction): Promise<Result<StorePosition, Failure>> {
    this.writes += 1;
    const position = { era: 1, revision: this.writes };
    this.item = put && { ...put, revision: position.revision };
    this.clock.startTimer(watchMs, this.onWritten);
    return Promise.resolve(Ok(position));
  }
}
