/**
 * Creates what knows where streams began, from the parts that it depends on.
 * @module
 */
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayState } from "../gatewayParts.js";
import type { Members } from "../members.js";
import type { Route } from "../types.js";
import { OriginGossip } from "./originGossip.js";
import { OriginTable } from "./originTable.js";
import { encodeOrigin } from "./streamOrigin.js";
import { OriginRecorder, TakeUps } from "./takeUps.js";
import { VersionHistory } from "./versionHistory.js";
import { VersionItems } from "./versionItems.js";

/** What knows where streams began. */
export interface OriginParts {
  /** Records where the streams of this instance begin. */
  readonly origins: OriginRecorder;
  /** Decides where streams go on that callers take up. */
  readonly takeUps: TakeUps;
  /** The versions of services, as the store keeps them. */
  readonly versionItems: VersionItems;
}

/** Time after the longest time limit of a stream within which its caller may still come back. */
const returnMarginMs = 10_000;
/** Time without a message on endpoints after which further versions may serve; more than two watches take. */
const maxViewAgeMs = 1_500;

/** Creates the history of the versions that this instance sees. */
export function createVersionHistory(state: GatewayState): VersionHistory {
  const { clock, directory } = state;
  const history = VersionHistory.create({ clock, getRetentionMs: createRetention(state) });
  directory.onAdded(({ record }) => history.addEndpoint(record));
  directory.onRemoved(({ record }) => history.removeEndpoint(record));
  return history;
}

/** Creates the parts. */
export function createOrigins(
  state: GatewayState,
  history: VersionHistory,
  members: Members,
  metrics: GatewayMetrics,
): OriginParts {
  const { settings, platform, clock, logger, directory, time } = state;
  const ownName = settings.instance.name;
  const table = OriginTable.create({ clock, getRetentionMs: createRetention(state) });
  const hasSeveral = (): boolean => history.getMixedServices().length > 0;
  const gossip = OriginGossip.create({ clock, fleet: members, table, hasSeveral });
  // Streams that began while one version served are told of once they could go on at another.
  history.onFurtherVersion((service) =>
    gossip.tellAll(new Set(history.list(service).map(({ origin }) => encodeOrigin(origin)))),
  );
  return {
    origins: OriginRecorder.create({ table, history, gossip }),
    takeUps: TakeUps.create({
      clock,
      logger,
      metrics,
      directory,
      table,
      history,
      gossip,
      isViewOld: () => directory.follower.ageMs > maxViewAgeMs,
      getRandom: Math.random,
    }),
    versionItems: VersionItems.create({
      store: platform.store,
      clock,
      logger,
      history,
      getTimeOfDay: () => time.get(),
      isWriter: (service) =>
        members.isReader &&
        members.isListed &&
        directory.isListed &&
        members.findArbiter(service) === ownName,
    }),
  };
}

/** Returns a function that returns the milliseconds for which a stream may be taken up after it began; 0 if none may. */
function createRetention({ follower }: GatewayState): () => number {
  let routes: readonly Route[] = [];
  let retentionMs = 0;
  return () => {
    const configured = follower.getTable()?.configuration.routes ?? routes;
    if (configured !== routes) {
      routes = configured;
      const limits = routes.filter(({ isResumable }) => isResumable).map(({ timeoutMs }) => timeoutMs);
      retentionMs = limits.length === 0 ? 0 : Math.max(...limits) + returnMarginMs;
    }
    return retentionMs;
  };
}
