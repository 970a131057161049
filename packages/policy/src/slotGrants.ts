/**
 * Open grants of the slots of one service. A grant whose end is lost expires by itself.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { AdoptedSlot, EndpointLoad, SlotRequest } from "./capacityTypes.js";
import { IndexedHeap } from "./indexedHeap.js";
import type { SlotEndpointState } from "./slotEndpointState.js";

/** Longest validity of a grant, unless its endpoint bears few refusals: there it is valid until the request has ended. */
export const maxGrantMs = 2_000;
/** Time within which a request with a grant has arrived at its endpoint and shows in what that reports. */
const arrivalMs = 100;

/** A slot that a request has got. */
export interface OpenGrant {
  readonly id: string;
  readonly endpoint: SlotEndpointState;
  readonly expiresAt: number;
  /** Pace of the endpoint at the time of the grant. */
  readonly pace: number;
  /** Expected time from sending to response, as a multiple of the run time. */
  readonly waitFactor: number;
  readonly tokens: number;
  /** Whether another scheduler granted it. */
  readonly isAdopted: boolean;
  readonly grantedAt: number;
  /** Whether its instance is gone. */
  isOrphaned: boolean;
}

/** Open grants by request. */
export class SlotGrants {
  private readonly byId = new Map<string, OpenGrant>();
  private readonly byExpiry = IndexedHeap.create<OpenGrant>(
    (left, right) => left.expiresAt < right.expiresAt,
  );

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): SlotGrants {
    return new SlotGrants(clock);
  }

  /** Number of open grants. */
  get size(): number {
    return this.byId.size;
  }

  get(id: string): OpenGrant | undefined {
    return this.byId.get(id);
  }

  /** Opens a grant of a slot of an endpoint. */
  add(request: SlotRequest, endpoint: SlotEndpointState, meanRunMs: number): void {
    const time = this.clock.getTime();
    const latestAt = endpoint.isBrittle ? Infinity : time + maxGrantMs;
    this.open({
      id: request.id,
      endpoint,
      expiresAt: Math.min(latestAt, request.deadlineAt),
      pace: endpoint.getPace(time),
      waitFactor: endpoint.getWaitFactor(time, meanRunMs),
      tokens: request.tokens ?? 0,
      isAdopted: false,
      grantedAt: time,
      isOrphaned: false,
    });
  }

  /** Opens a grant that another scheduler has given, in place of one with its id that differs. */
  adopt({ id, deadlineAt, tokens }: AdoptedSlot, endpoint: SlotEndpointState): void {
    const time = this.clock.getTime();
    const known = this.byId.get(id);
    const isCounted = known?.endpoint === endpoint && known.expiresAt >= deadlineAt - arrivalMs;
    if (isCounted && !known.isOrphaned) return;
    this.remove(id);
    const pace = endpoint.getPace(time);
    const state = { isAdopted: true, grantedAt: time, isOrphaned: false };
    this.open({ id, endpoint, expiresAt: deadlineAt, pace, waitFactor: 1, tokens, ...state });
  }

  /** Records that the instance of a grant is gone. */
  orphan(id: string): void {
    const grant = this.byId.get(id);
    if (!grant || grant.isOrphaned) return;
    grant.isOrphaned = true;
    grant.endpoint.orphaned += 1;
  }

  /**
   * Closes orphaned grants of an endpoint that its report does not show any more. Of other grants it shows those that had time to
   * arrive, but for the one with whose response it came.
   */
  releaseOrphans(endpoint: SlotEndpointState, { running, waiting }: EndpointLoad, except: string): void {
    if (endpoint.orphaned === 0) return;
    const arrivedBy = this.clock.getTime() - arrivalMs;
    const arrived = [...this.byId.values()].filter(
      (grant) => grant.endpoint === endpoint && grant.grantedAt <= arrivedBy && grant.id !== except,
    );
    const orphans = arrived.filter(({ isOrphaned }) => isOrphaned);
    const others = arrived.length - orphans.length;
    const shown = Math.max(0, running + waiting - others);
    for (const { id } of orphans.slice(0, Math.max(0, orphans.length - shown))) this.remove(id);
  }

  private open(grant: OpenGrant): void {
    grant.endpoint.addGrant(grant.tokens, grant.isAdopted);
    this.byId.set(grant.id, grant);
    this.byExpiry.add(grant);
  }

  /** Closes a grant; returns false if it is not open. */
  remove(id: string): boolean {
    const grant = this.byId.get(id);
    if (!grant) return false;
    this.byId.delete(id);
    this.byExpiry.remove(grant);
    grant.endpoint.removeGrant(grant.tokens, grant.isAdopted);
    if (grant.isOrphaned) grant.endpoint.orphaned -= 1;
    return true;
  }

  /** Closes the grants of endpoints that are gone. */
  removeOf(incarnations: ReadonlySet<string>): void {
    if (incarnations.size === 0) return;
    for (const grant of this.byId.values()) {
      if (incarnations.has(grant.endpoint.incarnation)) this.remove(grant.id);
    }
  }

  /** Closes the grants that have expired. */
  removeExpired(): void {
    const time = this.clock.getTime();
    for (;;) {
      const first = this.byExpiry.getFirst();
      if (!first || first.expiresAt > time) return;
      this.remove(first.id);
    }
  }

  /** Returns the time at which the next grant expires. */
  getNextExpiry(): number | undefined {
    return this.byExpiry.getFirst()?.expiresAt;
  }
}
