/**
 * Endpoints of one service whose slots are granted: chooses the endpoint of a grant and estimates what all of them
 * complete.
 * @module
 */
import type { SlotEndpoint, SlotRequest } from "./capacityTypes.js";
import { SlotEndpointState } from "./slotEndpointState.js";

/** Endpoints of one service. Times are milliseconds of the scheduler's clock. */
export class SlotEndpoints {
  private readonly states = new Map<string, SlotEndpointState>();

  private constructor() {}

  static create(): SlotEndpoints {
    return new SlotEndpoints();
  }

  /** Replaces the endpoints, keeps the state of those that stay, and returns the incarnations that are gone. */
  set(endpoints: readonly SlotEndpoint[], time: number): Set<string> {
    const gone = new Set(this.states.keys());
    for (const endpoint of endpoints) {
      gone.delete(endpoint.incarnation);
      const state = this.states.get(endpoint.incarnation);
      if (state) state.update(endpoint, time);
      else this.states.set(endpoint.incarnation, SlotEndpointState.create(endpoint, time));
    }
    for (const incarnation of gone) this.states.delete(incarnation);
    return gone;
  }

  /** Returns whether there is an endpoint that is not excluded, whether or not it has slots. */
  hasAny(excluded: ReadonlySet<string>): boolean {
    for (const incarnation of this.states.keys()) if (!excluded.has(incarnation)) return true;
    return false;
  }

  /** Returns whether a request may be sent to one of the endpoints at all, whether or not it has room. */
  hasEligible(excluded: ReadonlySet<string>): boolean {
    for (const state of this.states.values()) {
      if (state.getSlots() > 0 && !excluded.has(state.incarnation)) return true;
    }
    return false;
  }

  get(incarnation: string): SlotEndpointState | undefined {
    return this.states.get(incarnation);
  }

  /** Returns whether one of the endpoints that a request may be sent to has enough memory for it. */
  hasMemoryFor(excluded: ReadonlySet<string>, tokens: number): boolean {
    for (const state of this.states.values())
      if (state.hasMemoryFor(tokens) && !excluded.has(state.incarnation)) return true;
    return false;
  }

  /** Returns whether any endpoint that is not reserved for a waiting request has room. */
  hasRoom(time: number, meanRunMs: number, reserved: ReadonlySet<string>): boolean {
    for (const state of this.states.values())
      if (!reserved.has(state.incarnation) && state.hasRoom(time, meanRunMs)) return true;
    return false;
  }

  /**
   * Selects the first preferred endpoint with room for a request, or else the one where it is completed first; undefined if none has
   * room.
   */
  selectFor(
    { preferred, excluded, tokens }: SlotRequest,
    time: number,
    meanRunMs: number,
    reserved?: ReadonlySet<string>,
  ): SlotEndpointState | undefined {
    for (const incarnation of preferred ?? []) {
      const state = this.states.get(incarnation);
      if (!state || excluded.has(incarnation) || reserved?.has(incarnation)) continue;
      if (state.hasRoom(time, meanRunMs, tokens)) return state;
    }
    return this.select(time, meanRunMs, (state) => {
      if (excluded.has(state.incarnation) || reserved?.has(state.incarnation)) return false;
      return state.hasRoom(time, meanRunMs, tokens);
    });
  }

  /** Selects the endpoint whose memory is to be left to a request that has a slot there but not enough memory. */
  selectForMemory(
    { excluded, tokens = 0 }: SlotRequest,
    time: number,
    meanRunMs: number,
    reserved: ReadonlySet<string>,
  ): SlotEndpointState | undefined {
    let best: SlotEndpointState | undefined;
    for (const state of this.states.values()) {
      if (excluded.has(state.incarnation) || reserved.has(state.incarnation)) continue;
      if (!state.hasMemoryFor(tokens) || !state.hasRoom(time, meanRunMs)) continue;
      if (!best || state.freeTokens > best.freeTokens) best = state;
    }
    return best;
  }

  private select(
    time: number,
    meanRunMs: number,
    hasRoom: (state: SlotEndpointState) => boolean,
  ): SlotEndpointState | undefined {
    let best: SlotEndpointState | undefined;
    let bestCompletionMs = Infinity;
    for (const state of this.states.values()) {
      if (!hasRoom(state)) continue;
      const completionMs = state.estimateCompletionMs(time, meanRunMs);
      if (completionMs > bestCompletionMs) continue;
      if (best && completionMs === bestCompletionMs && !isLessOccupied(state, best, time, meanRunMs))
        continue;
      best = state;
      bestCompletionMs = completionMs;
    }
    return best;
  }

  /** Returns the requests that all endpoints complete per millisecond while they are busy. */
  getRatePerMs(time: number, meanRunMs: number): number {
    let rate = 0;
    for (const state of this.states.values()) rate += state.getSlots() / (meanRunMs * state.getPace(time));
    return rate;
  }

  /** Number of slots of all endpoints. */
  countSlots(): number {
    let slots = 0;
    for (const state of this.states.values()) slots += state.getSlots();
    return slots;
  }

  /** Returns the time at which an endpoint has room again although no grant ends. */
  getRoomAt(time: number, meanRunMs: number): number | undefined {
    let first: number | undefined;
    for (const state of this.states.values()) {
      const at = state.getRoomAt(time, meanRunMs);
      if (at !== undefined && (first === undefined || at < first)) first = at;
    }
    return first;
  }
}

function isLessOccupied(
  left: SlotEndpointState,
  right: SlotEndpointState,
  time: number,
  meanRunMs: number,
): boolean {
  return left.getOccupancy(time, meanRunMs) < right.getOccupancy(time, meanRunMs);
}
