/**
 * Which endpoints probably hold which prompt prefix. Every entry sends a prefix it has never seen to the same few
 * endpoints by rendezvous hashing, and remembers where its own requests went.
 * @module
 */
import { mixHashes } from "@gladewall/kernel";
import type { EndpointLoadEstimate } from "./endpointLoadEstimate.js";

const homesPerPrefix = 2;
const endpointsPerBlock = 4;

/** Bounded memory of prompt blocks and their endpoints. */
export class PrefixIndex {
  /** Block hash to endpoint ids, most recent last. */
  private readonly blocks = new Map<number, string[]>();

  private constructor(private readonly capacity: number) {}

  /** `capacity`: blocks remembered. */
  static create(capacity: number): PrefixIndex {
    return new PrefixIndex(capacity);
  }

  /** Remembers that an endpoint read these blocks. */
  add(blocks: readonly number[], endpoint: string): void {
    for (const block of blocks) {
      const endpoints = (this.blocks.get(block) ?? []).filter((other) => other !== endpoint);
      endpoints.push(endpoint);
      if (endpoints.length > endpointsPerBlock) endpoints.shift();
      this.blocks.delete(block);
      this.blocks.set(block, endpoints);
    }
    for (const oldest of this.blocks.keys()) {
      if (this.blocks.size <= this.capacity) break;
      this.blocks.delete(oldest);
    }
  }

  /** Returns, by endpoint, how many leading blocks it is believed to hold. */
  countCachedBlocks(blocks: readonly number[]): Map<string, number> {
    const held = new Map<string, number>();
    blocks.forEach((block, index) => {
      for (const endpoint of this.blocks.get(block) ?? []) {
        if ((held.get(endpoint) ?? 0) === index) held.set(endpoint, index + 1);
      }
    });
    return held;
  }

  /** Blocks remembered. */
  get size(): number {
    return this.blocks.size;
  }
}

/** Returns the endpoints that every entry takes as the homes of a prefix, best first. */
export function getPrefixHomes(
  firstBlock: number,
  endpoints: readonly EndpointLoadEstimate[],
): readonly EndpointLoadEstimate[] {
  let best: EndpointLoadEstimate | undefined;
  let second: EndpointLoadEstimate | undefined;
  let bestScore = -1;
  let secondScore = -1;
  for (const endpoint of endpoints) {
    const score = mixHashes(firstBlock, endpoint.hash);
    if (score > bestScore) {
      [second, secondScore] = [best, bestScore];
      [best, bestScore] = [endpoint, score];
    } else if (score > secondScore) {
      [second, secondScore] = [endpoint, score];
    }
  }
  return [best, second].filter((home) => home !== undefined).slice(0, homesPerPrefix);
}
