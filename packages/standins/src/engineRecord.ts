/**
 * What a stand-in endpoint really did: an independent record that checks compare with what callers were told.
 * @module
 */

/** State of a run at a stand-in endpoint. */
export enum RunState {
  Queued = 1,
  Running = 2,
  Finished = 3,
  Cancelled = 4,
  Cut = 5,
}

/** One run as the endpoint saw it. */
export interface RunRecord {
  readonly runId: string;
  readonly attempt: number;
  readonly requestId: string;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
  /** Tokens whose cache was fetched from the run that this one goes on with. */
  importedTokens: number;
  /** Position of the first token this run emits. */
  readonly start: number;
  /** Position after the last token emitted so far. */
  position: number;
  readonly length: number;
  state: RunState;
}

/** Recently used prompt blocks, bounded in number. */
export class PrefixCache {
  private readonly blocks = new Map<string, true>();

  private constructor(private readonly capacity: number) {}

  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Returns how many leading blocks of a prompt are held, and holds all of them from now on. */
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

  /** Number of blocks held. */
  get size(): number {
    return this.blocks.size;
  }
}

const blockCharacters = 256;

/** Returns the keys of a prompt's whole blocks; each key stands for the prompt up to its end. */
export function getBlockKeys(prompt: string): readonly string[] {
  const keys: string[] = [];
  for (let end = blockCharacters; end <= prompt.length; end += blockCharacters)
    keys.push(prompt.slice(0, end));
  return keys;
}
