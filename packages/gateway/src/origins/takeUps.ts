/**
 * Decides where a stream goes on that its caller takes up: at the version that began it, at any if there is no other, or nowhere.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import { pickWeightedTarget } from "../configuration/routeTable.js";
import { type CallerRequestHead, type Route, RouteKind } from "../types.js";
import type { OriginArchive } from "./originArchive.js";
import type { OriginAnswer, OriginGossip } from "./originGossip.js";
import type { OriginRecorder } from "./originRecorder.js";
import { type KnownOrigin, OriginSource, type OriginTable } from "./originTable.js";
import { listServices, type ResumableRoutes } from "./resumableRoutes.js";
import {
  createStreamKey,
  encodeOrigin,
  isBegun,
  mayServe,
  type RequiredOrigin,
  type StreamOrigin,
} from "./streamOrigin.js";
import type { VersionHistory } from "./versionHistory.js";
import { type VersionRecords, VersionVoucher } from "./versionRecords.js";

/** What becomes of a stream that is taken up. Members are written to logs and metrics. */
export enum TakeUpOutcome {
  /** It goes on at the version that began it. */
  GoesOn = 1,
  /** It goes on at the only version at which it can have begun. */
  OneVersion = 2,
  /** It is refused, because nobody knows which of several versions began it. */
  OriginUnknown = 3,
  /** It is refused, because no endpoint of the version that began it serves. */
  VersionGone = 4,
  /** It is refused, because its route no longer leads to the service that began it. */
  RouteMoved = 5,
}

/** Service for a request, and what its endpoint must be; undefined if any version may serve it. */
export interface ChosenService {
  readonly service: string;
  readonly origin: RequiredOrigin | undefined;
}

/** An admitted request whose service is to be chosen. */
export interface RoutedRequest {
  readonly route: Route;
  readonly head: CallerRequestHead;
  /** Empty on public routes. */
  readonly workspace: string;
}

/** Options of the decisions. */
export interface TakeUpsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly directory: Pick<EndpointDirectory, "getOfService">;
  readonly table: OriginTable;
  readonly history: VersionHistory;
  readonly records: VersionRecords;
  readonly routes: Pick<ResumableRoutes, "getFormerServicesOf" | "waitUntilRecorded">;
  readonly gossip: Pick<OriginGossip, "callKeepers">;
  readonly archive: Pick<OriginArchive, "readAll">;
  readonly recorder: Pick<OriginRecorder, "record">;
  /** Whether this instance may not know of the latest versions, because it has heard nothing of endpoints for a while. */
  readonly isViewOld: () => boolean;
  /** Returns a number from 0 to 1, to choose among the services of a route. */
  readonly getRandom: () => number;
}

/** What is known of a stream that is taken up, and how its keepers replied if they were called. */
interface FoundOrigin {
  readonly known: KnownOrigin | undefined;
  readonly answer?: OriginAnswer;
  /** Whether the archive was read, and knows nothing of the stream. */
  readonly isArchiveRead?: boolean;
}

/** What was decided, with the inputs that the log states. */
interface TakeUpDecision {
  readonly outcome: TakeUpOutcome;
  readonly service: string;
  readonly origin?: RequiredOrigin | undefined;
}

/** Time after which a refused stream may be taken up again: soon if a keeper may still reply, later if an endpoint must start. */
const silentRetryMs = 300;
const goneRetryMs = 1_000;
/** Characters of a caller's reference that are logged. */
const maxLoggedId = 64;

const failureCodes: Readonly<Partial<Record<TakeUpOutcome, FailureCode>>> = {
  [TakeUpOutcome.OriginUnknown]: FailureCode.StreamOriginUnknown,
  [TakeUpOutcome.VersionGone]: FailureCode.StreamVersionGone,
  [TakeUpOutcome.RouteMoved]: FailureCode.StreamVersionGone,
};

/** Chooses the services of requests. */
export class TakeUps {
  private constructor(private readonly options: TakeUpsOptions) {}

  static create(options: TakeUpsOptions): TakeUps {
    return new TakeUps(options);
  }

  /** Fails with `StreamOriginUnknown` or `StreamVersionGone` if the request goes on with a stream that can't go on now. */
  async choose(request: RoutedRequest): Promise<Result<ChosenService, Failure>> {
    const { route, head } = request;
    if (!route.isResumable && !isTakeUp(request))
      return Ok({ service: this.chooseService(route), origin: undefined });
    if (head.lastEventId === undefined) return Ok(await this.chooseForNew(route));
    await this.options.records.waitUntilListed();
    const found = await this.findOrigin(request);
    const decision = this.decide(route, found);
    this.record(request, found, decision);
    this.keepOnlyOrigin(request, found, decision);
    const failure = createFailure(decision, found);
    return failure ? Err(failure) : Ok({ service: decision.service, origin: decision.origin });
  }

  /** A stream begins at a recorded version only, so that those that start later know where it can have begun. */
  private async chooseForNew(route: Route): Promise<ChosenService> {
    const { records, routes } = this.options;
    const service = this.chooseService(route);
    await records.waitUntilOpen(service);
    await routes.waitUntilRecorded(route, service);
    return { service, origin: records };
  }

  private chooseService(route: Route): string {
    return pickWeightedTarget(route.targets, this.options.getRandom());
  }

  /** Keepers are called, and then the store is read, only if it makes a difference. */
  private async findOrigin({ route, head, workspace }: RoutedRequest): Promise<FoundOrigin> {
    const { table, gossip, archive, clock } = this.options;
    if (head.resumes === undefined && (this.mayDiffer(route) || !this.options.isViewOld()))
      return { known: undefined };
    const key = createStreamKey(workspace, head.resumes ?? head.id);
    const known = head.resumes === undefined ? undefined : table.find(key);
    if (known || !(this.mayDiffer(route) || this.options.isViewOld())) return { known };
    const answer = await gossip.callKeepers(key, listServices(route));
    const { code } = answer;
    if (code === undefined) {
      const isArchiveRead = this.mayDiffer(route) && (await archive.readAll());
      return { known: table.find(key), answer, isArchiveRead };
    }
    table.record(key, code, OriginSource.Asked);
    return { known: { code, at: clock.getTime(), source: OriginSource.Asked }, answer };
  }

  /** Whether a stream of a route can have begun at another version, or service, than one that serves it now. */
  private mayDiffer(route: Route): boolean {
    return this.options.records.mayDiffer(listServices(route)) || this.hasOtherFormer(route);
  }

  /** Whether a stream can have begun at a service that the route led to before, at a version that no service serves which it leads to now. */
  private hasOtherFormer(route: Route): boolean {
    const { records, routes, history } = this.options;
    const former = routes.getFormerServicesOf(route).flatMap((service) => records.listBegun(service));
    if (former.length === 0) return false;
    const listed = listServices(route).flatMap((service) => history.list(service));
    return former.some(
      ({ softwareVersion }) => !listed.some(({ origin }) => origin.softwareVersion === softwareVersion),
    );
  }

  private decide(route: Route, found: FoundOrigin): TakeUpDecision {
    const { history } = this.options;
    const { known } = found;
    const service = this.chooseService(route);
    if (!known) {
      const origin = this.findOnlyOrigin(route, found);
      if (!origin) return { outcome: TakeUpOutcome.OriginUnknown, service };
      const outcome = this.isServed(origin) ? TakeUpOutcome.OneVersion : TakeUpOutcome.VersionGone;
      return { outcome, service: origin.service, origin };
    }
    const begun = history.findByCode(known.code);
    if (!begun) return { outcome: TakeUpOutcome.VersionGone, service };
    const origin = this.findCurrent(route, begun);
    if (!origin) return { outcome: TakeUpOutcome.RouteMoved, service };
    const outcome = this.isServed(origin) ? TakeUpOutcome.GoesOn : TakeUpOutcome.VersionGone;
    return { outcome, service: origin.service, origin };
  }

  /**
   * Returns where a stream goes on: at its service, or at one that its route has moved to and that has the same version only; undefined if
   * there is none.
   */
  private findCurrent(route: Route, begun: StreamOrigin): StreamOrigin | undefined {
    const services = listServices(route);
    if (services.includes(begun.service)) return begun;
    if (this.options.records.mayDiffer(services)) return undefined;
    const moved = services.map((service) => ({ service, softwareVersion: begun.softwareVersion }));
    return moved.find((origin) => this.isServed(origin));
  }

  /** Returns the only version at which a stream of a route can have begun that nobody knows; undefined if that is not certain. */
  private findOnlyOrigin(route: Route, { answer, isArchiveRead }: FoundOrigin): StreamOrigin | undefined {
    const { records, isViewOld } = this.options;
    if (this.hasOtherFormer(route)) return undefined;
    const services = listServices(route);
    const [origin, ...others] = services.flatMap((service) => records.listBegun(service));
    if (!origin || others.length > 0) return undefined;
    if (!answer) return this.mayDiffer(route) ? undefined : origin;
    const { begun, isVouched, isFresh, isMajority } = answer;
    const isElsewhere = [...begun].some((other) => other !== encodeOrigin(origin));
    const isProven = isVouched || services.every((service) => records.isProven(service));
    // Where most of the keepers have heard nothing for a while, the store is dark, and no version can have opened.
    const isLatest = !isViewOld() || isFresh || isMajority;
    // Streams that began at a version which has opened since are in the archive.
    const isComplete = !this.mayDiffer(route) || isArchiveRead === true;
    const isCertain = !mayHideVersion(answer) && isProven && isLatest && isComplete;
    return isCertain && !isElsewhere ? origin : undefined;
  }

  /**
   * Has it kept where a stream began that is refused and can have begun at one version only: once streams begin at another one, nobody
   * could know, and that version may serve again while its caller still comes back.
   */
  private keepOnlyOrigin(
    request: RoutedRequest,
    { known }: FoundOrigin,
    { outcome, origin }: TakeUpDecision,
  ): void {
    const isFound = !known && outcome === TakeUpOutcome.VersionGone && isBegun(origin);
    if (isFound && request.head.resumes !== undefined) void this.options.recorder.record(request, origin);
  }

  private isServed(origin: StreamOrigin): boolean {
    return this.options.directory
      .getOfService(origin.service)
      .some((endpoint) => endpoint.isUsable() && mayServe(origin, endpoint));
  }

  private record(
    { route, head }: RoutedRequest,
    { known, answer, isArchiveRead }: FoundOrigin,
    { outcome, service, origin }: TakeUpDecision,
  ): void {
    const { clock, logger, metrics, directory, history, records } = this.options;
    const source = known && OriginSource[known.source];
    const endpoints = directory.getOfService(service).filter((endpoint) => endpoint.isUsable());
    metrics.countTakeUp(service, TakeUpOutcome[outcome], source ?? "none");
    logger.info("stream.taken-up", {
      request: head.id,
      resumes: head.resumes?.slice(0, maxLoggedId),
      after: head.lastEventId?.slice(0, maxLoggedId),
      route: route.name,
      service,
      softwareVersion: getVersion(origin),
      source,
      ageMs: known && Math.round(clock.getTime() - known.at),
      called: answer?.called,
      silent: answer?.silent,
      isArchiveRead,
      versions: formatOrigins(history.list(service).map((version) => version.origin)),
      begun: formatOrigins(records.listBegun(service)),
      versionsKnownMs: Math.round(history.getKnownMs()),
      voucher: VersionVoucher[records.findVoucher(service)],
      isVouched: answer?.isVouched,
      endpoints: endpoints.length,
      suitable: endpoints.filter((endpoint) => mayServe(origin, endpoint)).length,
      outcome: TakeUpOutcome[outcome],
    });
  }
}

/** Whether a request goes on with a stream, as its caller says: its route may have stopped being resumable since the stream began. */
function isTakeUp({ route, head }: RoutedRequest): boolean {
  return route.kind === RouteKind.Stream && head.lastEventId !== undefined && head.resumes !== undefined;
}

function formatOrigins(origins: readonly StreamOrigin[]): string {
  return origins.map(({ softwareVersion = "" }) => softwareVersion).join();
}

function getVersion(origin: RequiredOrigin | undefined): string | undefined {
  return isBegun(origin) ? origin.softwareVersion : undefined;
}

/** Whether keepers know of a further version, or there are some and none replied that could tell. */
function mayHideVersion({ called, silent, hasCalledAll, hasSeveral }: OriginAnswer): boolean {
  const isAlone = called === 0 && hasCalledAll;
  return hasSeveral || (silent === called && !isAlone);
}

function createFailure(
  { outcome, service, origin }: TakeUpDecision,
  { answer }: FoundOrigin,
): Failure | undefined {
  const code = failureCodes[outcome];
  if (code === undefined) return undefined;
  const mayStillReply = code === FailureCode.StreamOriginUnknown && (answer?.silent ?? 0) > 0;
  const version = getVersion(origin) ?? "";
  return Failure.create(code, { service, version }, mayStillReply ? silentRetryMs : goneRetryMs);
}
