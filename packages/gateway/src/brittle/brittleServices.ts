/**
 * Services whose endpoints announce that they are brittle: an endpoint that has to refuse more than a number of requests within a
 * second, for want of room, crashes. Instances tell each other, because an idle one would learn it only by its own requests.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { Clock, Logger } from "@gladewall/kernel";
import { getRefusalRecoveryMs } from "@gladewall/policy";
import type { Endpoint } from "../endpoints/endpoint.js";
import { FleetBroadcast, type FleetTopology } from "../fleet/fleetBroadcast.js";

/** Number of the message; follows that of crash witnesses. */
const brittleKind = 52;

/** What an instance knows of a service; sent to peers. */
interface BrittleReport {
  readonly service: string;
  /** Refusals a second that an endpoint bears; left out once its responses no longer announce that it is brittle. */
  readonly limit?: number;
  /** Milliseconds since the response that this is known from. */
  readonly ageMs: number;
}

interface BrittleMessage extends PeerMessage {
  readonly kind: typeof brittleKind;
  readonly services?: readonly BrittleReport[];
  /** Incarnation of a brittle endpoint that refused a request for want of room. */
  readonly refusedAt?: string;
}

/** Options of the services. */
export interface BrittleServicesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fleet: FleetTopology;
  /** Closes an endpoint for this instance for some milliseconds. */
  readonly holdOff: (incarnation: string, milliseconds: number) => void;
  readonly findEndpoint: (incarnation: string) => Endpoint | undefined;
}

interface ServiceState {
  limit: number;
  /** Monotonic time at which this instance learned that the service is brittle. */
  readonly knownSince: number;
  /** Monotonic time of the last response that announced it, here or as a peer told. */
  announcedAt: number;
  /** Monotonic time of the last response of each endpoint that announced it to this instance, by incarnation. */
  readonly announcers: Map<string, number>;
}

/**
 * Without an announcement for this long, a service no longer counts as brittle. An instance that sends it nothing hears nothing, and
 * would send its next request uncounted; one that is told too long is told better by its next response.
 */
const lifetimeMs = 600_000;
/** Responses without the announcement end it only this long after the last one with it: they may have been made before it. */
const endGraceMs = 500;
/** Time for which the announcement of one endpoint counts while another one's response lacks it. */
const announcerMs = 3_000;
/** Services in one message; of more, the rest is learned from their responses. */
const maxReported = 64;

/** What is known of brittle services. */
export class BrittleServices {
  private readonly states = new Map<string, ServiceState>();
  private readonly broadcaster: FleetBroadcast;

  private constructor(private readonly options: BrittleServicesOptions) {
    const { fleet } = options;
    this.broadcaster = FleetBroadcast.create(fleet);
    fleet.links.setHandler(brittleKind, (message, peer) =>
      this.handleMessage(message as BrittleMessage, peer),
    );
    fleet.links.onLinkUp(({ name }) => this.sendToNewPeer(name));
  }

  static create(options: BrittleServicesOptions): BrittleServices {
    return new BrittleServices(options);
  }

  /** Refusals a second that an endpoint of a service bears; undefined if its endpoints are not brittle. */
  getLimit(service: string): number | undefined {
    const state = this.states.get(service);
    if (!state) return undefined;
    if (this.options.clock.getTime() - state.announcedAt <= lifetimeMs) return state.limit;
    this.end(service, "unheard");
    return undefined;
  }

  /** Names of the services that are brittle, or have been a short while ago. */
  getNames(): Iterable<string> {
    return this.states.keys();
  }

  /** Milliseconds for which this instance has known that a service is brittle; undefined if it is not. */
  getKnownMs(service: string): number | undefined {
    if (this.getLimit(service) === undefined) return undefined;
    return this.options.clock.getTime() - (this.states.get(service)?.knownSince ?? 0);
  }

  /** Applies a response to a request that was sent at the given time; `limit` is undefined if it announces nothing. */
  recordResponse({ record, incarnation }: Endpoint, limit: number | undefined, sentAt: number): void {
    const { service } = record;
    const time = this.options.clock.getTime();
    if (limit !== undefined) {
      const isNews = this.announce(service, limit, time);
      this.states.get(service)?.announcers.set(incarnation, time);
      if (isNews) this.broadcast({ service, limit, ageMs: 0 });
      return;
    }
    const state = this.states.get(service);
    if (!state || sentAt < state.announcedAt || time - state.announcedAt < endGraceMs) return;
    state.announcers.delete(incarnation);
    if (this.hasAnnouncers(state)) return;
    this.end(service, "response");
    this.broadcast({ service, ageMs: 0 });
  }

  /** Applies that a peer or the store knows the service to be brittle. */
  applyWord(service: string, limit: number): void {
    if (this.getLimit(service) === undefined) this.announce(service, limit, this.options.clock.getTime());
  }

  /** Records that a brittle endpoint refused a request for want of room: no instance sends it requests for a moment. */
  recordRefusal({ incarnation, record }: Endpoint): void {
    const limit = this.getLimit(record.service);
    if (limit === undefined) return;
    this.options.holdOff(incarnation, getRefusalRecoveryMs(limit));
    this.broadcaster.broadcast(createMessage({ refusedAt: incarnation }));
  }

  private announce(service: string, limit: number, at: number): boolean {
    const state = this.states.get(service);
    if (state && state.announcedAt > at) return false;
    const knownSince = state?.knownSince ?? this.options.clock.getTime();
    const announcers = state?.announcers ?? new Map<string, number>();
    this.states.set(service, { limit, announcedAt: at, knownSince, announcers });
    if (state?.limit === limit) return false;
    this.options.logger.info("service.brittle", { service, refusalsPerSecond: limit });
    return true;
  }

  /** Whether an endpoint that announced it a moment ago still serves; others may not announce it, as during a roll-out. */
  private hasAnnouncers({ announcers }: ServiceState): boolean {
    const { clock, findEndpoint } = this.options;
    const oldestAt = clock.getTime() - announcerMs;
    for (const [incarnation, at] of announcers) {
      if (at >= oldestAt && findEndpoint(incarnation)?.isUsable()) return true;
      announcers.delete(incarnation);
    }
    return false;
  }

  private end(service: string, cause: string): void {
    this.states.delete(service);
    this.options.logger.info("service.brittle-ended", { service, cause });
  }

  private broadcast(report: BrittleReport): void {
    this.broadcaster.broadcast(createMessage({ services: [report] }));
  }

  private handleMessage({ services, refusedAt }: BrittleMessage, { name }: PeerIdentity): void {
    if (typeof refusedAt === "string") this.applyRefusal(refusedAt, name);
    if (!Array.isArray(services)) return;
    const reports = (services as unknown[]).slice(0, maxReported).filter(isReport);
    const news = reports.filter((report) => this.applyReport(report));
    const refuted = reports.flatMap((report) => this.refute(report));
    if (refuted.length > 0) this.options.fleet.links.send(name, createMessage({ services: refuted }));
    if (news.length > 0) this.broadcaster.relay(createMessage({ services: news }), name);
  }

  private applyReport({ service, limit, ageMs }: BrittleReport): boolean {
    const at = this.options.clock.getTime() - ageMs;
    if (limit !== undefined) return this.announce(service, limit, at);
    const state = this.states.get(service);
    if (!state || at - state.announcedAt < endGraceMs || this.hasAnnouncers(state)) return false;
    this.end(service, "peer");
    return true;
  }

  /** Returns what a peer has to know that takes a service for brittle no more, while endpoints announce to this instance that it is. */
  private refute({ service, limit }: BrittleReport): readonly BrittleReport[] {
    const state = this.states.get(service);
    if (limit !== undefined || !state || !this.hasAnnouncers(state)) return [];
    return [{ service, limit: state.limit, ageMs: 0 }];
  }

  private applyRefusal(incarnation: string, sender: string): void {
    const { findEndpoint, holdOff, clock } = this.options;
    const endpoint = findEndpoint(incarnation);
    const limit = endpoint && this.getLimit(endpoint.record.service);
    if (!endpoint || limit === undefined || endpoint.availability.getHoldOffMs(clock.getTime()) > 0) return;
    holdOff(incarnation, getRefusalRecoveryMs(limit));
    this.broadcaster.relay(createMessage({ refusedAt: incarnation }), sender);
  }

  private sendToNewPeer(name: string): void {
    const time = this.options.clock.getTime();
    const services: BrittleReport[] = [];
    for (const [service, { limit, announcedAt }] of this.states) {
      if (time - announcedAt <= lifetimeMs) services.push({ service, limit, ageMs: time - announcedAt });
    }
    if (services.length > 0) this.options.fleet.links.send(name, createMessage({ services }));
  }
}

function createMessage(fields: Omit<BrittleMessage, "kind">): BrittleMessage {
  return { kind: brittleKind, ...fields };
}

function isReport(value: unknown): value is BrittleReport {
  if (typeof value !== "object" || value === null) return false;
  const { service, limit, ageMs } = value as Partial<BrittleReport>;
  const isLimitValid = limit === undefined || isCount(limit);
  return typeof service === "string" && isLimitValid && isCount(ageMs);
}

function isCount(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}
