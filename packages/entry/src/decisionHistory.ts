/**
 * Stores the decisions about the latest requests. The number of requests is bounded: the one added first is removed
 * first.
 * @module
 */
import type { DecisionRecord } from "@gladewall/policy";

/** Decisions by request. */
export class DecisionHistory {
  private readonly decisions = new Map<string, DecisionRecord[]>();

  private constructor(private readonly capacity: number) {}

  /** `capacity`: maximum number of requests. */
  static create(capacity: number): DecisionHistory {
    return new DecisionHistory(capacity);
  }

  /** Adds a decision about a request. */
  add(request: string, decision: DecisionRecord): void {
    const existing = this.decisions.get(request);
    if (existing) {
      existing.push(decision);
      return;
    }
    this.decisions.set(request, [decision]);
    for (const oldest of this.decisions.keys()) {
      if (this.decisions.size <= this.capacity) break;
      this.decisions.delete(oldest);
    }
  }

  /** Returns a request's decisions, oldest first; undefined if none are stored. */
  get(request: string): readonly DecisionRecord[] | undefined {
    return this.decisions.get(request);
  }

  /** Returns the ids of the stored requests, newest last. */
  getRequests(): readonly string[] {
    return [...this.decisions.keys()];
  }
}
