/**
 * Which backends were sent which parts of prompts, by this node and its peers, bounded by forgetting the parts unused
 * longest.
 * @module
 */
import type { PromptPart } from "./types.js";

const keptParts = 4_000;
/** Parts that save less reading than this are not told: 256 tokens are 2 to 8 ms. */
const leastToldTokens = 256;
/** Most parts kept for one report: what is beyond it is only not known elsewhere. */
const mostTold = 64;

/** Ended backends that are remembered, so that a peer's late word does not bring one back. */
const keptEnded = 256;

/** Parts of prompts that a node's requests made backends read, by backend. */
export type ReadReport = Readonly<Record<string, readonly string[]>>;

/** Remembers parts by backend. */
export class PrefixMemory {
  /** Backends by part, the part used last at the end. */
  private readonly holders = new Map<string, Set<string>>();
  /** What peers have not been told yet. */
  private untold: Record<string, string[]> = {};
  private untoldCount = 0;
  /** Backends that have ended, the latest at the end; ids are never used again. */
  private readonly ended = new Set<string>();

  private constructor() {}

  static create(): PrefixMemory {
    return new PrefixMemory();
  }

  /** Whether a backend was sent a part. */
  holds(part: string, backend: string): boolean {
    return this.holders.get(part)?.has(backend) === true;
  }

  /** Takes note that a request of this node made a backend read its prompt. */
  note(parts: readonly PromptPart[], backend: string): void {
    // The last part is the request's own: no other will bring it, but for its session's next one, which comes here.
    for (const { id, tokens } of parts.slice(0, -1)) {
      if (tokens < leastToldTokens || this.holds(id, backend) || this.untoldCount >= mostTold) continue;
      (this.untold[backend] ??= []).push(id);
      this.untoldCount += 1;
    }
    this.add(
      parts.map(({ id }) => id),
      backend,
    );
  }

  /** Returns what peers have not been told yet; they count as told from then on. */
  takeUntold(): ReadReport {
    const { untold } = this;
    this.untold = {};
    this.untoldCount = 0;
    return untold;
  }

  /** Takes what a peer tells. */
  takePeer(report: ReadReport): void {
    for (const [backend, parts] of Object.entries(report)) this.add(parts, backend);
  }

  private add(parts: readonly string[], backend: string): void {
    if (this.ended.has(backend)) return;
    for (const id of parts) {
      const holders = this.holders.get(id) ?? new Set<string>();
      this.holders.delete(id);
      this.holders.set(id, holders);
      holders.add(backend);
    }
    while (this.holders.size > keptParts) {
      const oldest = this.holders.keys().next().value;
      if (oldest === undefined) return;
      this.holders.delete(oldest);
    }
  }

  /** Forgets a backend that has ended. */
  removeBackend(backend: string): void {
    for (const holders of this.holders.values()) holders.delete(backend);
    this.ended.add(backend);
    const [oldest] = this.ended;
    if (this.ended.size > keptEnded && oldest !== undefined) this.ended.delete(oldest);
  }
}
