/**
 * The routes whose streams may be resumed: which services they lead to, and for how long a stream may be taken up.
 * @module
 */
import type { ConfigurationFollower } from "../configurationFollower.js";
import type { Route } from "../types.js";

/** Time after the longest time limit of a stream within which its caller may still come back. */
const returnMarginMs = 10_000;

/** The routes, by the configuration in force. */
export class ResumableRoutes {
  private routes: readonly Route[] = [];
  private retentionMs = 0;
  private services: readonly string[] = [];

  private constructor(private readonly follower: Pick<ConfigurationFollower, "getTable">) {}

  static create(follower: Pick<ConfigurationFollower, "getTable">): ResumableRoutes {
    return new ResumableRoutes(follower);
  }

  /** Returns the milliseconds for which a stream may be taken up after it began; 0 if none may. */
  getRetentionMs(): number {
    this.update();
    return this.retentionMs;
  }

  /** Returns the services of the routes. */
  getServices(): readonly string[] {
    this.update();
    return this.services;
  }

  private update(): void {
    const routes = this.follower.getTable()?.configuration.routes ?? this.routes;
    if (routes === this.routes) return;
    this.routes = routes;
    const resumable = routes.filter(({ isResumable }) => isResumable);
    const limits = resumable.map(({ timeoutMs }) => timeoutMs);
    this.retentionMs = limits.length === 0 ? 0 : Math.max(...limits) + returnMarginMs;
    this.services = [...new Set(resumable.flatMap(({ targets }) => targets.map(({ service }) => service)))];
  }
}
