/**
 * Records of what a fake engine did. Tests compare them with the responses that callers received.
 * @module
 */

/** State of a run at a fake engine. */
export enum RunState {
  Queued = 1,
  Running = 2,
  Finished = 3,
  Cancelled = 4,
  /** Stopped because the engine was closed. */
  Interrupted = 5,
}

/** One run, as the engine recorded it. */
export interface RunRecord {
  readonly runId: string;
  readonly attempt: number;
  readonly requestId: string;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
  /** Prompt tokens whose cache was fetched from the run that this one continues. */
  importedTokens: number;
  /** Position of the first token this run emits. */
  readonly start: number;
  /** Position after the last token emitted so far. */
  position: number;
  /** Position after the last token that this run is to emit. */
  readonly length: number;
  state: RunState;
}

/** Cache of prompt blocks that evicts the least recently used ones. */
export class PrefixCache {
  private readonly blocks = new Map<string, true>();

  private constructor(private readonly capacity: number) {}

  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Returns how many leading blocks of a prompt are cached, and caches all of its blocks. */
  lookUpAndStore(keys: readonly string[]): number {
    const missing = keys.findIndex((key) => !this.blocks.has(key));
    const cached = missing < 0 ? keys.length : missing;
    for (const key of keys) {
      this.blocks.delete(key);
      this.blocks.set(key, true);
    }
    for (const oldest of this.blocks.keys()) {
      if (this.blocks.size <= this.capacity) break;
      this.blocks.delete(oldest);
    }
    return cached;
  }

  /** Number of cached blocks. */
  get size(): number {
    return this.blocks.size;
  }
}

const blockCharacters = 256;

/** Returns the keys of the complete blocks of a prompt. Each key is the prompt up to the end of its block. */
export function getBlockKeys(prompt: string): readonly string[] {
  const keys: string[] = [];
  for (let end = blockCharacters; end <= prompt.length; end += blockCharacters)
    keys.push(prompt.slice(0, end));
  return keys;
}
