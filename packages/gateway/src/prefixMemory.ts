/**
 * Which backends were sent which parts of prompts, bounded by forgetting the parts unused longest.
 * @module
 */

const keptParts = 4_000;

/** Remembers parts by backend. */
export class PrefixMemory {
  /** Backends by part, the part used last at the end. */
  private readonly holders = new Map<string, Set<string>>();

  private constructor() {}

  static create(): PrefixMemory {
    return new PrefixMemory();
  }

  /** Whether a backend was sent a part. */
  holds(part: string, backend: string): boolean {
    return this.holders.get(part)?.has(backend) === true;
  }

  /** Takes note that a backend has read parts. */
  add(parts: readonly { readonly id: string }[], backend: string): void {
    for (const { id } of parts) {
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
  }
}
