/**
 * Tracks silent peers: peers that send no reports and may still be serving requests. A peer that is cut off
 * serves for as long as its proof of the configuration lasts, and keeps its part of shared limits for that
 * time. A peer whose connection was closed has ended.
 * @module
 */

/** A peer without a report for this long is silent, milliseconds: six reports of a small fleet. */
export const reportLifetimeMs = 1_000;
/**
 * Added to the time after which removed keys must not run, for clocks, scheduling and messages that reached a
 * peer after its last report was sent. Assumed: a second is ten times what links and turns of the event loop
 * take without load.
 */
const servingMarginMs = 1_000;

/** Decides which peers may be serving without their reports arriving. */
export class SilentPeers {
  private readonly reportedAt = new Map<string, number>();
  private readonly servingUntil = new Map<string, number>();

  private constructor(
    private readonly servingMs: number,
    private readonly startedAt: number,
  ) {}

  /**
   * `revokeWithinMs`: time after which removed keys must not run; an instance that is cut off serves no longer
   * than that. `startedAt`: monotonic time at which this instance started; what peers reported before it is not known.
   */
  static create(revokeWithinMs: number, startedAt: number): SilentPeers {
    return new SilentPeers(revokeWithinMs + servingMarginMs, startedAt);
  }

  recordReport(name: string, time: number): void {
    this.reportedAt.set(name, time);
    this.servingUntil.delete(name);
  }

  /** Records that the link to a peer is down. A peer that reported until then has ended and serves nothing. */
  recordDisconnect(name: string, time: number): void {
    const reportedAt = this.reportedAt.get(name);
    if (reportedAt === undefined || time - reportedAt <= reportLifetimeMs) return;
    this.servingUntil.set(name, reportedAt + this.servingMs);
  }

  /**
   * Whether a listed peer may be serving without its reports arriving. A peer that never reported and is linked will do so. One that
   * is not linked may have reported to the previous start of this instance, and be cut off from this one: an instance that takes it
   * for ended grants a whole limit beside those that serve.
   */
  mayBeServing(name: string, time: number, isLinked: boolean): boolean {
    if ((this.servingUntil.get(name) ?? -Infinity) > time) return true;
    const reportedAt = this.reportedAt.get(name);
    if (reportedAt === undefined) return !isLinked && time - this.startedAt < this.servingMs;
    return isLinked && time - reportedAt > reportLifetimeMs;
  }
}
