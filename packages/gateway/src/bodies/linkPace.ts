/**
 * Bounds the rate at which an instance reads long bodies, all together: a body without end comes as fast as it is read, and would take the
 * link and the processor from all other requests.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** What is known of the end of a long body. */
export enum BodyExtent {
  /** Its length is stated, and one that responses have. */
  Stated = 1,
  /** It may have no end, and is no longer yet than many that have one. */
  Open = 2,
  /** It may have no end, and is longer than most that have one. */
  Long = 3,
}

/** Bytes that bodies of an extent may take at once, and in a millisecond: alone, and while other requests are served. */
interface Allowance {
  readonly burstBytes: number;
  readonly bytesPerMs: number;
  readonly sharedBytesPerMs: number;
}

/** Half of a link of 1 Gbit/s. */
const fullBytesPerMs = 62_500;
const allowances: Readonly<Record<BodyExtent, Allowance>> = {
  [BodyExtent.Stated]: {
    burstBytes: 33_554_432,
    bytesPerMs: fullBytesPerMs,
    sharedBytesPerMs: fullBytesPerMs,
  },
  [BodyExtent.Open]: { burstBytes: 4_194_304, bytesPerMs: fullBytesPerMs, sharedBytesPerMs: 16_000 },
  // A body without end is in this class nearly all the time.
  [BodyExtent.Long]: { burstBytes: 1_048_576, bytesPerMs: fullBytesPerMs, sharedBytesPerMs: 4_000 },
};
/** Time after another request for which others are expected. */
const sharedMs = 500;

/** Bytes that may be read now. */
class Level {
  private bytes: number;
  private filledAt = -Infinity;

  private constructor(private readonly burstBytes: number) {
    this.bytes = burstBytes;
  }

  static create(burstBytes: number): Level {
    return new Level(burstBytes);
  }

  /** Takes bytes at a time; returns the milliseconds until there are some again. */
  take(bytes: number, time: number, bytesPerMs: number): number {
    const filled = Math.min(this.burstBytes, this.bytes + (time - this.filledAt) * bytesPerMs);
    this.bytes = filled - bytes;
    this.filledAt = time;
    return Math.max(0, -this.bytes / bytesPerMs);
  }
}

/** The rate of long bodies. */
export class LinkPace {
  private readonly levels: Readonly<Record<BodyExtent, Level>> = {
    [BodyExtent.Stated]: Level.create(allowances[BodyExtent.Stated].burstBytes),
    [BodyExtent.Open]: Level.create(allowances[BodyExtent.Open].burstBytes),
    [BodyExtent.Long]: Level.create(allowances[BodyExtent.Long].burstBytes),
  };
  private requests = 0;
  private bodies = 0;
  /** Monotonic time at which requests were last served beside each other, not all of them with long bodies. */
  private sharedAt = -Infinity;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LinkPace {
    return new LinkPace(clock);
  }

  /** Counts a request, whatever its body, until the returned function is called. */
  beginRequest(): () => void {
    this.noteOthers();
    this.requests += 1;
    return () => {
      this.requests -= 1;
      this.noteOthers();
    };
  }

  /** Counts the long body of a request until the returned function is called. */
  beginBody(): () => void {
    this.bodies += 1;
    return () => (this.bodies -= 1);
  }

  /** Counts bytes of a long body that have been read; returns the milliseconds for which no more of it should be. */
  take(extent: BodyExtent, bytes: number): number {
    const time = this.clock.getTime();
    if (this.requests > this.bodies) this.sharedAt = time;
    const { bytesPerMs, sharedBytesPerMs } = allowances[extent];
    const isShared = time - this.sharedAt < sharedMs;
    return this.levels[extent].take(bytes, time, isShared ? sharedBytesPerMs : bytesPerMs);
  }

  /** Records that a request begins or ends beside others. */
  private noteOthers(): void {
    if (this.requests > 0) this.sharedAt = this.clock.getTime();
  }
}
