/**
 * Tracks which endpoints probably have a prompt prefix in their cache. An entry remembers where it sent its own
 * requests. For a prefix that it has not seen, rendezvous hashing gives every entry the same few endpoints, the
 * homes of the prefix.
 * @module
 */
import { mixHashes } from "@gladewall/kernel";
import type { EndpointLoadEstimate } from "./endpointLoadEstimate.js";

const homesPerPrefix = 2;
const maxEndpointsPerBlock = 4;

/**
 * Maps prompt blocks to the endpoints that processed them. Above its capacity, it drops the least recently
 * recorded blocks.
 */
export class PrefixIndex {
  /** Endpoint ids by block hash, most recent last. */
  private readonly blocks = new Map<number, string[]>();

  private constructor(private readonly capacity: number) {}

  /** `capacity`: maximum number of blocks. */
  static create(capacity: number): PrefixIndex {
    return new PrefixIndex(capacity);
  }

  /** Records that an endpoint processed these blocks. */
  add(blocks: readonly number[], endpoint: string): void {
    for (const block of blocks) {
      const endpoints = (this.blocks.get(block) ?? []).filter((other) => other !== endpoint);
      endpoints.push(endpoint);
      if (endpoints.length > maxEndpointsPerBlock) endpoints.shift();
      this.blocks.delete(block);
      this.blocks.set(block, endpoints);
    }
    for (const oldest of this.blocks.keys()) {
      if (this.blocks.size <= this.capacity) break;
      this.blocks.delete(oldest);
    }
  }

  /** Returns, for each endpoint, how many leading blocks it probably has in its cache. */
  countCachedBlocks(blocks: readonly number[]): Map<string, number> {
    const cachedBlocks = new Map<string, number>();
    blocks.forEach((block, index) => {
      for (const endpoint of this.blocks.get(block) ?? []) {
        if ((cachedBlocks.get(endpoint) ?? 0) === index) cachedBlocks.set(endpoint, index + 1);
      }
    });
    return cachedBlocks;
  }

  /** Number of blocks in the index. */
  get size(): number {
    return this.blocks.size;
  }
}

/** Returns the home endpoints of a prefix, best first. Every entry computes the same ones from the same endpoints. */
export function getPrefixHomes(
  firstBlock: number,
  endpoints: readonly EndpointLoadEstimate[],
): readonly EndpointLoadEstimate[] {
  let best: EndpointLoadEstimate | undefined;
  let second: EndpointLoadEstimate | undefined;
  let bestScore = -1;
  let secondScore = -1;
  for (const endpoint of endpoints) {
    const score = mixHashes(firstBlock, endpoint.idHash);
    if (score > bestScore) {
      [second, secondScore] = [best, bestScore];
      [best, bestScore] = [endpoint, score];
    } else if (score > secondScore) {
      [second, secondScore] = [endpoint, score];
    }
  }
  return [best, second].filter((home) => home !== undefined).slice(0, homesPerPrefix);
}
