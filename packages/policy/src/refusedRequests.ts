/**
 * Refused requests whose callers were told to return. A returned request has a new id, so it is recognized by its units and by
 * the time at which it comes. Where many requests have the same size, a new one cannot be told from a returned one.
 * @module
 */

/** Shortest time after which callers are told to return. */
export const minReturnMs = 300;
/** Time by which a caller may return later than it was told: its scheduling and the transmission. */
const returnSlackMs = 300;
/** Refused requests that are kept; of more, the oldest are dropped and count as new when they return. */
const maxRefused = 256;

interface RefusedRequest {
  readonly units: number;
  readonly at: number;
  readonly dueFrom: number;
  readonly dueUntil: number;
}

/** A refused request that may have returned. */
export interface ReturnedRequest {
  /** Time of the refusal. */
  readonly refusedAt: number;
  /** Whether other requests of this size came too, so that this one may also be new. */
  readonly isAmbiguous: boolean;
}

/** The refused requests of one rank. */
export class RefusedRequests {
  private readonly requests: RefusedRequest[] = [];
  private units = 0;

  private constructor() {}

  static create(): RefusedRequests {
    return new RefusedRequests();
  }

  /** Adds a request that is told to return after once to twice the wait, which counts as `minReturnMs` at least. */
  add(time: number, units: number, waitMs: number): void {
    const firstMs = Math.max(minReturnMs, waitMs);
    const dueFrom = time + firstMs;
    const dueUntil = time + firstMs * 2 + returnSlackMs;
    this.requests.push({ units, at: time, dueFrom, dueUntil });
    this.units += units;
    if (this.requests.length > maxRefused) this.removeAt(0);
  }

  /** Removes the oldest refused request that this one may be; returns undefined if there is none. */
  takeReturn(time: number, units: number): ReturnedRequest | undefined {
    this.expire(time);
    const index = this.requests.findIndex((request) => request.units === units && request.dueFrom <= time);
    if (index < 0) return undefined;
    const { at: refusedAt } = this.requests[index]!;
    this.removeAt(index);
    return { refusedAt, isAmbiguous: this.requests.some((request) => request.units === units) };
  }

  /** Returns the units of the requests that may still return. */
  getUnits(time: number): number {
    this.expire(time);
    return this.units;
  }

  private expire(time: number): void {
    for (let index = this.requests.length - 1; index >= 0; index--) {
      if (this.requests[index]!.dueUntil < time) this.removeAt(index);
    }
  }

  private removeAt(index: number): void {
    this.units -= this.requests[index]!.units;
    this.requests.splice(index, 1);
    if (this.requests.length === 0) this.units = 0;
  }
}
