/**
 * Peers that fell silent and may be serving unheard: cut off, they serve as long as their proof of the configuration
 * lasts, and keep their part of what is shared for so long. A peer whose connection was closed has ended.
 * @module
 */

/** A peer that has not been heard for this long is silent, milliseconds: six reports of a small fleet. */
export const reportLifetimeMs = 1_000;
/**
 * Added to the time after which removed keys must not run: clocks, scheduling and what reached a peer after its
 * last word left. Assumed; a second is ten times what links and turns of the event loop take in calm.
 */
const servingMarginMs = 1_000;

/** Knows which peers may be serving unheard. */
export class SilentPeers {
  private readonly heardAt = new Map<string, number>();
  private readonly servingUntil = new Map<string, number>();

  private constructor(private readonly servingMs: number) {}

  /**
   * `revokeWithinMs`: time after which removed keys must not run; an instance that is cut off serves no longer than
   * that.
   */
  static create(revokeWithinMs: number): SilentPeers {
    return new SilentPeers(revokeWithinMs + servingMarginMs);
  }

  recordReport(name: string, time: number): void {
    this.heardAt.set(name, time);
    this.servingUntil.delete(name);
  }

  /** Takes note that the link to a peer is gone. One that was heard until then has ended, and serves nothing. */
  recordDisconnect(name: string, time: number): void {
    const heardAt = this.heardAt.get(name);
    if (heardAt === undefined || time - heardAt <= reportLifetimeMs) return;
    this.servingUntil.set(name, heardAt + this.servingMs);
  }

  /** Whether a peer may be serving unheard. One that never reported has served nothing that could have been missed. */
  mayBeServing(name: string, time: number, isLinked: boolean): boolean {
    if ((this.servingUntil.get(name) ?? -Infinity) > time) return true;
    const heardAt = this.heardAt.get(name);
    return heardAt !== undefined && isLinked && time - heardAt > reportLifetimeMs;
  }
}
