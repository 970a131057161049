/**
 * The routes whose streams may be resumed: which services they lead to, or led to while streams began that may still be taken up.
 * @module
 */
import { type Clock, waitWhile } from "@gladewall/kernel";
import type { ConfigurationFollower } from "../configuration/configurationFollower.js";
import type { Route } from "../types.js";
import { StreamRetention } from "./streamRetention.js";
import type { VersionRecord } from "./versionRecord.js";

/** Options of the routes. */
export interface ResumableRoutesOptions {
  readonly clock: Clock;
  readonly follower: Pick<ConfigurationFollower, "getTable">;
}

/** Services that a route led to. */
interface FormerRoute {
  readonly name: string;
  readonly services: readonly string[];
  /** Monotonic time until which it did. */
  readonly until: number;
}

/** The records of versions, which state the routes that led to their services before this instance started. */
export interface RecordedRoutes {
  list(): readonly Pick<VersionRecord, "service" | "routes">[];
  find(service: string): Pick<VersionRecord, "routes"> | undefined;
}

/** Time after the longest time limit of a stream within which its caller may still come back. */
const returnMarginMs = 10_000;
/** Time after a change within which new streams wait until the record of their service names their route, and pause between two looks. */
const maxRecordWaitMs = 2_000;
const pollMs = 10;
/** Shortest time for which a stream may be taken up: callers come back until their own deadlines, whatever the limit of the route. */
const minRetentionMs = 30_000;

/** The routes, by the configurations that have been in force. */
export class ResumableRoutes {
  readonly retention: StreamRetention;
  private routes: readonly Route[] = [];
  private resumable: readonly Route[] = [];
  /** Services of the routes, and the time for which streams that begin now may be taken up. */
  private services: readonly string[] = [];
  private inForceMs = 0;
  private former: readonly FormerRoute[] = [];
  private records: RecordedRoutes | undefined;
  /** Monotonic time at which this instance first knew the routes; undefined before. */
  private knownAt: number | undefined;
  /** Monotonic time at which the routes last changed. */
  private changedAt = -Infinity;

  private constructor(private readonly options: ResumableRoutesOptions) {
    const { clock } = options;
    this.retention = StreamRetention.create({ clock, getInForceMs: () => this.getInForceMs() });
  }

  static create(options: ResumableRoutesOptions): ResumableRoutes {
    return new ResumableRoutes(options);
  }

  /** Returns the services at which streams may begin, or began that may still be taken up. */
  getServices(): readonly string[] {
    this.update();
    const former = [...this.listFormer(), ...this.listRecorded()];
    return former.length === 0 ? this.services : [...new Set([...this.services, ...former])];
  }

  /** Has the records tell what routes led to before this instance started. */
  follow(records: RecordedRoutes): void {
    this.records = records;
  }

  /**
   * Waits, for a while after a change, until the record of a service names a route: an instance that starts later must know that streams of the
   * route can have begun there.
   */
  waitUntilRecorded({ name }: Pick<Route, "name">, service: string): Promise<void> {
    const { clock } = this.options;
    this.update();
    const endsAt = this.changedAt + maxRecordWaitMs;
    return waitWhile(clock, () => this.isUnrecorded(name, service), { endsAt, pollMs });
  }

  /** Returns the names of the routes that lead to a service, or did while streams began that may still be taken up, in order. */
  listRoutesOf(service: string): readonly string[] {
    this.update();
    const current = this.resumable.filter((route) => listServices(route).includes(service));
    const former = this.getFormer().filter(({ services }) => services.includes(service));
    const recorded = this.hasKnownLong() ? [] : (this.records?.find(service)?.routes ?? []);
    return [...new Set([...[...current, ...former].map(({ name }) => name), ...recorded])].sort();
  }

  /** Returns the services that a route no longer leads to, and did while streams began that may still be taken up. */
  getFormerServicesOf(route: Pick<Route, "name" | "targets">): readonly string[] {
    this.update();
    const current = listServices(route);
    const former = new Set([...this.listFormer(route.name), ...this.listRecorded(route.name)]);
    return [...former].filter((service) => !current.includes(service));
  }

  /** Returns the services whose records name a route, or any route. */
  private listRecorded(name?: string): readonly string[] {
    const recorded = (this.records?.list() ?? []).filter(({ routes }) =>
      name === undefined ? routes.length > 0 : routes.includes(name),
    );
    return recorded.map(({ service }) => service);
  }

  /** Whether there is a record that does not name a route; what has none is recorded before its first stream begins. */
  private isUnrecorded(name: string, service: string): boolean {
    return this.records?.find(service)?.routes.includes(name) === false;
  }

  /** Whether all streams have ended that began under routes which this instance does not know. */
  private hasKnownLong(): boolean {
    const { clock } = this.options;
    return this.knownAt !== undefined && clock.getTime() - this.knownAt > this.retention.getMs();
  }

  private getInForceMs(): number {
    this.update();
    return this.inForceMs;
  }

  /** Returns the services that a route, or any, led to as this instance has seen it. */
  private listFormer(name?: string): readonly string[] {
    return this.getFormer().flatMap((route) =>
      name === undefined || route.name === name ? route.services : [],
    );
  }

  private getFormer(): readonly FormerRoute[] {
    if (this.former.length === 0) return this.former;
    const oldestUntil = this.options.clock.getTime() - this.retention.getMs();
    this.former = this.former.filter(({ until }) => until >= oldestUntil);
    return this.former;
  }

  private update(): void {
    const { follower, clock } = this.options;
    const routes = follower.getTable()?.configuration.routes ?? this.routes;
    if (routes === this.routes) return;
    const until = clock.getTime();
    this.knownAt ??= until;
    this.changedAt = until;
    const resumable = routes.filter(({ isResumable }) => isResumable);
    const moved = this.resumable.filter((route) => !resumable.some((other) => isSameRoute(route, other)));
    const former = moved.map((route) => ({ name: route.name, services: listServices(route), until }));
    this.former = [...this.former, ...former];
    this.routes = routes;
    this.resumable = resumable;
    this.services = [...new Set(resumable.flatMap(listServices))];
    this.inForceMs = getRetentionMs(resumable);
  }
}

/** Whether two routes have one name and lead to the same services. */
function isSameRoute(one: Route, other: Route): boolean {
  return one.name === other.name && listServices(one).join() === listServices(other).join();
}

/** Returns the milliseconds for which streams of routes may be taken up after they began; 0 if there are none. */
function getRetentionMs(routes: readonly Route[]): number {
  const limits = routes.map(({ timeoutMs }) => timeoutMs + returnMarginMs);
  return limits.length === 0 ? 0 : Math.max(minRetentionMs, ...limits);
}

/** Returns the services that a route leads to. */
export function listServices({ targets }: Pick<Route, "targets">): readonly string[] {
  return targets.map(({ service }) => service);
}
