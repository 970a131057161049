/**
 * Creates what knows where streams began, from the parts that it depends on.
 * @module
 */
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayState } from "../parts/gatewayState.js";
import type { Members } from "../fleet/members.js";
import { isRestore } from "../store/storeEras.js";
import type { StoreItem } from "../types.js";
import { OriginArchive } from "./originArchive.js";
import { OriginGossip } from "./originGossip.js";
import { OriginTable } from "./originTable.js";
import { OriginKeeper } from "./originKeeper.js";
import { OriginRecorder } from "./originRecorder.js";
import { ResumableRoutes } from "./resumableRoutes.js";
import { TakeUps } from "./takeUps.js";
import { VersionHistory } from "./versionHistory.js";
import { VersionItems } from "./versionItems.js";
import { maxViewAgeMs } from "./versionRecord.js";
import { VersionRecorder } from "./versionRecorder.js";
import { VersionRecords } from "./versionRecords.js";

/** What knows where streams began. */
export interface OriginParts {
  /** Records where the streams of this instance begin. */
  readonly origins: OriginRecorder;
  /** Decides where streams go on that callers take up. */
  readonly takeUps: TakeUps;
  /** Handles an item of the store that was written or removed. */
  readonly handleItem: (key: string, item: StoreItem | undefined) => void;
  /** Writes what has changed to the store; called several times a second. */
  readonly reconcile: () => void;
}

/** Name by which the instance is chosen that writes the archive and the records of versions. */
const archiveSubject = "stream-origins";

/** What this instance sees of routes and endpoints that matters to streams. */
export interface StreamViews {
  readonly routes: ResumableRoutes;
  readonly history: VersionHistory;
}

/** Creates the views of the routes whose streams may be resumed, and of the versions that this instance sees. */
export function createStreamViews(state: GatewayState): StreamViews {
  const { clock, directory, follower } = state;
  const routes = ResumableRoutes.create({ clock, follower });
  const history = VersionHistory.create({ clock, getRetentionMs: () => routes.retention.getMs() });
  directory.onAdded(({ record }) => history.addEndpoint(record));
  directory.onRemoved(({ record }) => history.removeEndpoint(record));
  return { routes, history };
}

/** What the parts are created from. */
interface OriginBase {
  readonly state: GatewayState;
  readonly views: StreamViews;
  readonly members: Members;
}

/** Where streams began and at which versions they can have, as this instance knows it and the store keeps it. */
interface OriginKnowledge {
  readonly table: OriginTable;
  readonly records: VersionRecords;
  readonly archive: OriginArchive;
  readonly gossip: OriginGossip;
  readonly isWriter: (subject: string) => boolean;
  readonly isViewOld: () => boolean;
}

/** Creates the parts. */
export function createOrigins(
  state: GatewayState,
  views: StreamViews,
  members: Members,
  metrics: GatewayMetrics,
): OriginParts {
  const { settings, platform, clock, logger, directory, time } = state;
  const { store } = platform;
  const { routes, history } = views;
  const known = createKnowledge({ state, views, members });
  const { table, records, archive, gossip, isWriter, isViewOld } = known;
  const base = { store, clock, logger, history };
  const items = VersionItems.create({ ...base, getTimeOfDay: () => time.get(), isWriter });
  const keeper = OriginKeeper.create({
    clock,
    logger,
    links: members.links,
    table,
    archive,
    ownName: settings.instance.name,
    findWriter: () => members.findArbiter(archiveSubject),
  });
  const recorder = VersionRecorder.create({
    ...base,
    records,
    retention: routes.retention,
    getServices: () => routes.getServices(),
    listRoutes: (service) => routes.listRoutesOf(service),
    isWriter: () => isWriter(archiveSubject),
    // A version opens once the streams that began before it joined are in the store.
    confirmJoining: async (service, codes) =>
      (await gossip.confirmJoining(service, codes)) && (await archive.flush()),
    getRandom: Math.random,
  });
  const origins = OriginRecorder.create({ table, records, gossip, keeper });
  const decided = { clock, logger, metrics, directory, history, isViewOld, getRandom: Math.random };
  return {
    origins,
    takeUps: TakeUps.create({ ...decided, table, records, routes, gossip, archive, recorder: origins }),
    handleItem: (key, item) => {
      items.handleItem(key, item);
      records.handleItem(key, item);
    },
    reconcile: () => {
      items.reconcile();
      recorder.reconcile();
      archive.reconcile();
    },
  };
}

function createKnowledge({ state, views: { routes, history }, members }: OriginBase): OriginKnowledge {
  const { settings, platform, clock, logger, directory } = state;
  const { store } = platform;
  const { name: ownName, first_start: isFirstStart } = settings.instance;
  const { retention } = routes;
  const getRetentionMs = (): number => retention.getMs();
  const isListed = (): boolean => members.isListed && directory.isListed;
  const isWriter = (subject: string): boolean =>
    members.isReader && isListed() && members.findArbiter(subject) === ownName;
  const isViewOld = (): boolean => directory.follower.ageMs > maxViewAgeMs;
  const base = { store, clock, logger, history, getRetentionMs };
  const table = OriginTable.create({ clock, getRetentionMs });
  const records = VersionRecords.create({
    ...base,
    retention,
    eras: store.eras,
    isFirstStart,
    isListed,
    isViewOld,
  });
  routes.follow(records);
  const areProven = (): boolean => routes.getServices().every((service) => records.isProven(service));
  const archive = OriginArchive.create({
    ...base,
    table,
    isNeeded: () => history.hasMixedServices || !areProven(),
    isWriter: () => isWriter(archiveSubject),
  });
  store.eras.onEraChange((change) => {
    if (isRestore(change)) archive.noteRestored();
  });
  const gossip = OriginGossip.create({ ...base, fleet: members, table, records, isViewOld });
  return { table, records, archive, gossip, isWriter, isViewOld };
}
