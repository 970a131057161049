/**
 * What endpoints have said of themselves, by their lives: kept beyond their records, as an endpoint serves on for seconds after
 * its word, and may be listed again meanwhile.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** From whom it is known that an endpoint leaves. */
export enum WordSource {
  /** Its record. */
  Record = 1,
  /** An answer that it gave this instance. */
  Answer = 2,
  /** A peer that had such an answer. */
  Peer = 3,
  /** Whoever has its address now: it has ended. */
  Successor = 4,
}

/** Lives of which words are kept, some 200 bytes each: all endpoints of a fleet replaced within a few minutes. */
const keptLives = 2_048;
/** Time that a word is kept for; an endpoint that leaves ends within a minute. */
const keptMs = 600_000;

/** Words of one life. */
export class EndpointWords {
  private firstSource: WordSource | undefined;
  /** Monotonic time of the last word. */
  heardAt = -Infinity;

  private constructor() {}

  static create(): EndpointWords {
    return new EndpointWords();
  }

  /** From whom it was first known that it leaves; undefined where it does not. Nothing takes it back within a life. */
  get leaving(): WordSource | undefined {
    return this.firstSource;
  }

  /** Takes note that it leaves; returns whether that is new. */
  noteLeaving(source: WordSource, time: number): boolean {
    this.heardAt = time;
    if (this.firstSource !== undefined) return false;
    this.firstSource = source;
    return true;
  }
}

/** Words of all lives, also of those whose records are gone or not there yet. */
export class WordMemory {
  /** Words by life, the latest at the end. */
  private readonly words = new Map<string, EndpointWords>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WordMemory {
    return new WordMemory(clock);
  }

  find(life: string): EndpointWords | undefined {
    return this.words.get(life);
  }

  /** Keeps the words of a life, to which one was just added. */
  keep(life: string, words: EndpointWords): void {
    this.words.delete(life);
    this.words.set(life, words);
    const limit = this.clock.getTime() - keptMs;
    for (const [oldest, { heardAt }] of this.words) {
      if (this.words.size <= keptLives && heardAt >= limit) return;
      this.words.delete(oldest);
    }
  }

  /** Lives that are known to leave by an answer, the latest first, so many at most. */
  getAnswered(most: number): readonly string[] {
    const lives: string[] = [];
    for (const [life, { leaving }] of this.words) {
      if (leaving === WordSource.Answer || leaving === WordSource.Peer) lives.push(life);
    }
    return lives.reverse().slice(0, most);
  }
}
