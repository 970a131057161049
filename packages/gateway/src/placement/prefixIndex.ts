/**
 * Index of the prompt parts that endpoints have processed for this instance and its peers, and so may have in their prefix
 * caches. It is bounded by evicting the least recently used parts.
 * @module
 */
import type { PromptPart } from "../types.js";

const maxParts = 4_000;
/** Smaller parts are not reported, because they save too little prefill time: 256 tokens take 2 to 8 ms. */
const minReportedTokens = 256;
/** Maximum number of parts in one report; peers don't learn of further ones. */
const maxReportedParts = 64;

/** Removed endpoints that are remembered, so that a peer's late report does not add one again. */
const maxRemoved = 256;

/** Ids of prompt parts that were processed for an instance, by endpoint incarnation. */
export type PrefixReport = Readonly<Record<string, readonly string[]>>;

/** Records which endpoints have processed which parts. */
export class PrefixIndex {
  /** Endpoint incarnations by part; the most recently used part last. */
  private readonly holders = new Map<string, Set<string>>();
  /** Parts not reported to peers yet. */
  private unreported: Record<string, string[]> = {};
  private unreportedCount = 0;
  /** Incarnations of removed endpoints, the latest last. */
  private readonly removed = new Set<string>();

  private constructor() {}

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Whether an endpoint has processed a part. */
  holds(part: string, endpoint: string): boolean {
    return this.holders.get(part)?.has(endpoint) === true;
  }

  /** Records that an endpoint has processed the prompt of a request of this instance; called at the first event. */
  recordProcessed(parts: readonly PromptPart[], endpoint: string): void {
    // The last part is specific to the request and not reported: only the next request of its session contains it, and that
    // arrives at this instance.
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

  /** Returns the parts not reported to peers yet, and counts them as reported. */
  takeUnreported(): PrefixReport {
    const { unreported } = this;
    this.unreported = {};
    this.unreportedCount = 0;
    return unreported;
  }

  /** Merges a peer's report. */
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

  /** Forgets an endpoint that was removed. */
  removeEndpoint(endpoint: string): void {
    for (const holders of this.holders.values()) holders.delete(endpoint);
    this.removed.add(endpoint);
    const [oldest] = this.removed;
    if (this.removed.size > maxRemoved && oldest !== undefined) this.removed.delete(oldest);
  }
}
