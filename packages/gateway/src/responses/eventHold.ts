/**
 * Holds the first events of a stream until something has been done that must go before them. Reading pauses meanwhile, so that what is
 * held stays small.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { pauseReading, resumeReading } from "../bodies/readPause.js";
import { containThrows } from "../failures/containedFailures.js";

/** Bytes of events. */
export interface EventBytes {
  readonly bytes: Buffer;
  /** Whether they end inside an event that is too long to be held back. */
  readonly endsInside: boolean;
}

/** Holds the events of one stream. */
export class EventHold {
  /** Resolves once nothing is held any more. */
  released: Promise<void> = Promise.resolve();
  /** Undefined while nothing is to be held. */
  private held: EventBytes[] | undefined;

  private constructor(
    private readonly message: IncomingMessage,
    private readonly write: (events: EventBytes) => void,
  ) {}

  static create(message: IncomingMessage, write: (events: EventBytes) => void): EventHold {
    return new EventHold(message, write);
  }

  /** Holds what is forwarded from now on until `until` resolves; nothing if it is undefined. */
  start(until: Promise<void> | undefined, fail: (error: unknown) => void): void {
    if (!until) return;
    this.held = [];
    pauseReading(this.message);
    const release = containThrows(() => this.release(), fail);
    this.released = until.then(release, (error: unknown) => {
      fail(error);
      release();
    });
  }

  /** Writes events, or holds them. */
  forward(events: EventBytes): void {
    if (this.held) this.held.push(events);
    else this.write(events);
  }

  private release(): void {
    const held = this.held ?? [];
    this.held = undefined;
    for (const events of held) this.write(events);
    resumeReading(this.message);
  }
}
