/**
 * Creates what knows where streams began, from the parts that it depends on.
 * @module
 */
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayState } from "../gatewayState.js";
import type { Members } from "../fleet/members.js";
import type { Route } from "../types.js";
import { OriginArchive } from "./originArchive.js";
import { OriginGossip } from "./originGossip.js";
import { OriginTable } from "./originTable.js";
import { OriginRecorder, TakeUps } from "./takeUps.js";
import { VersionHistory } from "./versionHistory.js";
import { VersionItems } from "./versionItems.js";

/** What knows where streams began. */
export interface OriginParts {
  /** Records where the streams of this instance begin. */
  readonly origins: OriginRecorder;
  /** Decides where streams go on that callers take up. */
  readonly takeUps: TakeUps;
  /** Handles an item of the store that was written or removed. */
  readonly handleItem: VersionItems["handleItem"];
  /** Writes what has changed to the store; called several times a second. */
  readonly reconcile: () => void;
}

/** Time after the longest time limit of a stream within which its caller may still come back. */
const returnMarginMs = 10_000;
/** Time without a message on endpoints after which further versions may serve; more than two watches take. */
const maxViewAgeMs = 1_500;

/** Name by which the instance that writes the archive is chosen. */
const archiveSubject = "stream-origins";

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
  const getRetentionMs = createRetention(state);
  const table = OriginTable.create({ clock, getRetentionMs });
  const isWriter = (subject: string): boolean =>
    members.isReader && members.isListed && directory.isListed && members.findArbiter(subject) === ownName;
  const kept = { store: platform.store, clock, logger, getTimeOfDay: () => time.get() };
  const items = VersionItems.create({ ...kept, history, isWriter });
  const archive = OriginArchive.create({
    ...kept,
    table,
    getRetentionMs,
    isNeeded: () => history.hasMixedServices,
    isWriter: () => isWriter(archiveSubject),
  });
  const gossip = OriginGossip.create({ clock, fleet: members, table, history });
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
      archive,
      isViewOld: () => directory.follower.ageMs > maxViewAgeMs,
      getRandom: Math.random,
    }),
    handleItem: (key, item) => items.handleItem(key, item),
    reconcile: () => {
      items.reconcile();
      archive.reconcile();
    },
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
