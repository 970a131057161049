/**
 * Which endpoints were sent which parts of prompts, by this instance and its peers, bounded by forgetting the parts
 * unused longest.
 * @module
 */
import type { PromptPart } from "./types.js";

const maxParts = 4_000;
/** Parts that save less reading than this are not told: 256 tokens are 2 to 8 ms. */
const minReportedTokens = 256;
/** Most parts kept for one report: what is beyond it is only not known elsewhere. */
const maxReportedParts = 64;

/** Ended endpoints that are remembered, so that a peer's late word does not bring one back. */
const maxRemoved = 256;

/** Parts of prompts that an instance's requests made endpoints read, by endpoint. */
export type PrefixReport = Readonly<Record<string, readonly string[]>>;

/** Remembers parts by endpoint. */
export class PrefixIndex {
  /** Lives of endpoints by part, the part used last at the end. */
  private readonly holders = new Map<string, Set<string>>();
  /** What peers have not been told yet. */
  private unreported: Record<string, string[]> = {};
  private unreportedCount = 0;
  /** Lives of endpoints that have ended, the latest at the end. */
  private readonly removed = new Set<string>();

  private constructor() {}

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Whether an endpoint was sent a part. */
  holds(part: string, endpoint: string): boolean {
    return this.holders.get(part)?.has(endpoint) === true;
  }

  /** Takes note that a request of this instance made an endpoint read its prompt. */
  noteSent(parts: readonly PromptPart[], endpoint: string): void {
    // The last part is the request's own: no other will bring it, but for its session's next one, which comes here.
    for (const { id, tokens } of parts.slice(0, -1)) {
      if (tokens < minReportedTokens || this.holds(id, endpoint) || this.unreportedCount >= maxReportedParts)
        continue;
      (this.unreported[endpoint] ??= []).push(id);
      this.unreportedCount += 1;
    }
    this.add(
      parts.map(({ id }) => id),
      endpoint,
    );
  }

  /** Returns what peers have not been told yet; they count as told from then on. */
  takeUnreported(): PrefixReport {
    const { unreported } = this;
    this.unreported = {};
    this.unreportedCount = 0;
    return unreported;
  }

  /** Takes what a peer tells. */
  mergePeer(report: PrefixReport): void {
    for (const [endpoint, parts] of Object.entries(report)) this.add(parts, endpoint);
  }

  private add(parts: readonly string[], endpoint: string): void {
    if (this.removed.has(endpoint)) return;
    for (const id of parts) {
      const holders = this.holders.get(id) ?? new Set<string>();
      this.holders.delete(id);
      this.holders.set(id, holders);
      holders.add(endpoint);
    }
    while (this.holders.size > maxParts) {
      const oldest = this.holders.keys().next().value;
      if (oldest === undefined) return;
      this.holders.delete(oldest);
    }
  }

  /** Forgets an endpoint that has ended. */
  removeEndpoint(endpoint: string): void {
    for (const holders of this.holders.values()) holders.delete(endpoint);
    this.removed.add(endpoint);
    const [oldest] = this.removed;
    if (this.removed.size > maxRemoved && oldest !== undefined) this.removed.delete(oldest);
  }
}
