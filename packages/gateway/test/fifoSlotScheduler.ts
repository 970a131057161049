/**
 * Scheduler of slots that grants them in the order of arrival, for tests of what carries its decisions between instances.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import {
  type AdoptedSlot,
  type SlotDecision,
  type SlotDispatch,
  type SlotEnd,
  type SlotEndpoint,
  type SlotGrant,
  SlotOutcome,
  SlotRefusal,
  type SlotRequest,
  type SlotScheduler,
} from "@gladewall/policy";

/** Options of the scheduler. */
export interface FifoSlotOptions {
  readonly maxWaiting?: number | undefined;
  /** Longest time of a grant without an end. */
  readonly grantLifetimeMs?: number;
}

const defaultGrantLifetimeMs = 2_000;
const announcedWaitMs = 20;
const retryAfterMs = 1_700;

interface Grant extends SlotGrant {
  readonly expiresAt: number;
}

/** Grants slots first come, first served. */
export class FifoSlotScheduler implements SlotScheduler {
  /** Ends of grants, in order. */
  readonly ends: SlotEnd[] = [];
  private endpoints: readonly SlotEndpoint[] = [];
  private waiting: SlotRequest[] = [];
  private readonly open = new Map<string, Grant>();

  private constructor(
    private readonly clock: Clock,
    private readonly options: FifoSlotOptions,
  ) {}

  static create(clock: Clock, options: FifoSlotOptions = {}): FifoSlotScheduler {
    return new FifoSlotScheduler(clock, options);
  }

  setEndpoints(endpoints: readonly SlotEndpoint[]): void {
    this.endpoints = endpoints;
  }

  request(request: SlotRequest): SlotDecision {
    if (this.endpoints.every(({ incarnation, slots }) => slots === 0 || request.excluded.has(incarnation)))
      return { outcome: SlotOutcome.Refused, refusal: SlotRefusal.NoEndpoint, retryAfterMs };
    const endpoint = this.waiting.length === 0 ? this.tryGrant(request) : undefined;
    if (endpoint !== undefined) return { outcome: SlotOutcome.Granted, endpoint };
    if (this.waiting.length >= (this.options.maxWaiting ?? Infinity))
      return { outcome: SlotOutcome.Refused, refusal: SlotRefusal.QueueFull, retryAfterMs };
    this.waiting.push(request);
    return { outcome: SlotOutcome.Queued, waitMs: announcedWaitMs };
  }

  cancel(id: string): void {
    this.waiting = this.waiting.filter((request) => request.id !== id);
    this.open.delete(id);
  }

  end(end: SlotEnd): void {
    this.ends.push(end);
    this.open.delete(end.id);
  }

  /** Counts a place as any other. */
  adopt({ id, endpoint, deadlineAt }: AdoptedSlot): void {
    if (!this.open.has(id)) this.open.set(id, { id, endpoint, expiresAt: deadlineAt });
  }

  /** Places of instances that are gone stay until they expire. */
  orphan(): void {}

  /** Reports are not used. */
  recordLoad(): void {}

  describe(): undefined {}

  dispatch(): SlotDispatch {
    const time = this.clock.getTime();
    for (const { id, expiresAt } of this.open.values()) if (expiresAt <= time) this.open.delete(id);
    const expired = this.waiting.filter(({ deadlineAt }) => deadlineAt <= time).map(({ id }) => id);
    this.waiting = this.waiting.filter(({ id }) => !expired.includes(id));
    const granted: SlotGrant[] = [];
    for (const request of this.waiting) {
      const endpoint = this.tryGrant(request);
      if (endpoint !== undefined) granted.push({ id: request.id, endpoint });
    }
    this.waiting = this.waiting.filter(({ id }) => !this.open.has(id));
    return { granted, expired, stranded: [] };
  }

  getNextAt(): number | undefined {
    const times = [
      ...this.waiting.map(({ deadlineAt }) => deadlineAt),
      ...[...this.open.values()].map(({ expiresAt }) => expiresAt),
    ];
    return times.length === 0 ? undefined : Math.min(...times);
  }

  getState(): { readonly waiting: number; readonly open: number } {
    return { waiting: this.waiting.length, open: this.open.size };
  }

  private tryGrant({ id, excluded, deadlineAt }: SlotRequest): string | undefined {
    const counts = this.endpoints.map(({ incarnation, slots }) => {
      const open = [...this.open.values()].filter((grant) => grant.endpoint === incarnation).length;
      return { incarnation, room: slots > 0 ? slots + 1 - open : 0 };
    });
    counts.sort((one, other) => other.room - one.room);
    const best = counts.find(({ incarnation, room }) => room > 0 && !excluded.has(incarnation));
    if (!best) return undefined;
    const { grantLifetimeMs = defaultGrantLifetimeMs } = this.options;
    const expiresAt = Math.min(deadlineAt, this.clock.getTime() + grantLifetimeMs);
    this.open.set(id, { id, endpoint: best.incarnation, expiresAt });
    return best.incarnation;
  }
}
