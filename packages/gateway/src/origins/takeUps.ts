/**
 * Decides where a stream goes on that its caller takes up: at the version that began it, at any if there is no other, or nowhere.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import { pickWeightedTarget } from "../routeTable.js";
import type { CallerRequestHead, Route } from "../types.js";
import type { OriginArchive } from "./originArchive.js";
import type { OriginAnswer, OriginGossip } from "./originGossip.js";
import { type KnownOrigin, OriginSource, type OriginTable } from "./originTable.js";
import { createStreamKey, encodeOrigin, mayServe, type StreamOrigin } from "./streamOrigin.js";
import type { VersionHistory } from "./versionHistory.js";

/** What becomes of a stream that is taken up. Members are written to logs and metrics. */
export enum TakeUpOutcome {
  /** It goes on at the version that began it. */
  GoesOn = 1,
  /** It goes on anywhere, because it can have begun at one version only. */
  OneVersion = 2,
  /** It is refused, because nobody knows which of several versions began it. */
  OriginUnknown = 3,
  /** It is refused, because no endpoint of the version that began it serves. */
  VersionGone = 4,
  /** It is refused, because its route no longer leads to the service that began it. */
  RouteMoved = 5,
}

/** Service for a request, and where the stream began that the request goes on with; undefined if any version may serve it. */
export interface ChosenService {
  readonly service: string;
  readonly origin: StreamOrigin | undefined;
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
  readonly gossip: Pick<OriginGossip, "callKeepers">;
  readonly archive: Pick<OriginArchive, "readAll">;
  /** Whether this instance may not know of the latest versions, because it has heard nothing of endpoints for a while. */
  readonly isViewOld: () => boolean;
  /** Returns a number from 0 to 1, to choose among the services of a route. */
  readonly getRandom: () => number;
}

/** What is known of a stream that is taken up, and how its keepers replied if they were called. */
interface FoundOrigin {
  readonly known: KnownOrigin | undefined;
  readonly answer?: OriginAnswer;
}

/** What was decided, with the inputs that the log states. */
interface TakeUpDecision {
  readonly outcome: TakeUpOutcome;
  readonly service: string;
  readonly origin?: StreamOrigin | undefined;
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
    if (!route.isResumable || head.lastEventId === undefined) return Ok(this.chooseAny(route));
    const found = await this.findOrigin(request);
    const decision = this.decide(route, found);
    this.record(request, found, decision);
    const failure = createFailure(decision, found);
    return failure ? Err(failure) : Ok({ service: decision.service, origin: decision.origin });
  }

  private chooseAny(route: Route): ChosenService {
    return { service: pickWeightedTarget(route.targets, this.options.getRandom()), origin: undefined };
  }

  /** Keepers are called, and then the store is read, only if it makes a difference. */
  private async findOrigin({ route, head, workspace }: RoutedRequest): Promise<FoundOrigin> {
    const { table, gossip, archive, clock } = this.options;
    if (head.resumes === undefined) return { known: undefined };
    const key = createStreamKey(workspace, head.resumes);
    const known = table.find(key);
    if (known || !(this.mayDiffer(route) || this.options.isViewOld())) return { known };
    const answer = await gossip.callKeepers(key);
    const { code } = answer;
    if (code === undefined) {
      if (this.mayDiffer(route)) await archive.readAll();
      return { known: table.find(key), answer };
    }
    table.record(key, code, OriginSource.Asked);
    return { known: { code, at: clock.getTime(), source: OriginSource.Asked }, answer };
  }

  /** Whether a stream of a route can have begun at another version than one that serves it now. */
  private mayDiffer(route: Route): boolean {
    return route.targets.some(({ service }) => this.options.history.hasSeveral(service));
  }

  private decide(route: Route, { known, answer }: FoundOrigin): TakeUpDecision {
    const { history, directory } = this.options;
    const { service } = this.chooseAny(route);
    const mayDiffer = this.mayDiffer(route) || (answer !== undefined && mayHideVersion(answer));
    const unknown = mayDiffer ? TakeUpOutcome.OriginUnknown : TakeUpOutcome.OneVersion;
    if (!known) return { outcome: unknown, service };
    const origin = history.findByCode(known.code);
    if (!origin) return { outcome: TakeUpOutcome.VersionGone, service };
    if (!route.targets.some((target) => target.service === origin.service))
      return { outcome: mayDiffer ? TakeUpOutcome.RouteMoved : TakeUpOutcome.OneVersion, service };
    const isServed = directory
      .getOfService(origin.service)
      .some((endpoint) => endpoint.isUsable() && mayServe(origin, endpoint));
    const outcome = isServed ? TakeUpOutcome.GoesOn : TakeUpOutcome.VersionGone;
    return { outcome, service: origin.service, origin };
  }

  private record(
    { route, head }: RoutedRequest,
    { known, answer }: FoundOrigin,
    { outcome, service, origin }: TakeUpDecision,
  ): void {
    const { clock, logger, metrics, directory, history } = this.options;
    const source = known && OriginSource[known.source];
    const endpoints = directory.getOfService(service).filter((endpoint) => endpoint.isUsable());
    metrics.countTakeUp(service, TakeUpOutcome[outcome], source ?? "none");
    logger.info("stream.taken-up", {
      request: head.id,
      resumes: head.resumes?.slice(0, maxLoggedId),
      after: head.lastEventId?.slice(0, maxLoggedId),
      route: route.name,
      service,
      softwareVersion: origin?.softwareVersion,
      source,
      ageMs: known && Math.round(clock.getTime() - known.at),
      called: answer?.called,
      silent: answer?.silent,
      versions: history
        .list(service)
        .map(({ origin: { softwareVersion = "" } }) => softwareVersion)
        .join(),
      versionsKnownMs: Math.round(history.getKnownMs()),
      endpoints: endpoints.length,
      suitable: endpoints.filter((endpoint) => mayServe(origin, endpoint)).length,
      outcome: TakeUpOutcome[outcome],
    });
  }
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
  const version = origin?.softwareVersion ?? "";
  return Failure.create(code, { service, version }, mayStillReply ? silentRetryMs : goneRetryMs);
}

/** Records where the streams of an instance begin. */
export class OriginRecorder {
  private constructor(
    private readonly options: Pick<TakeUpsOptions, "table" | "history"> & {
      readonly gossip: Pick<OriginGossip, "announce">;
    },
  ) {}

  static create(options: OriginRecorder["options"]): OriginRecorder {
    return new OriginRecorder(options);
  }

  /** Records where the stream of a request began; called when its first event is forwarded by this instance. */
  record({ route, head, workspace }: RoutedRequest, origin: StreamOrigin): void {
    if (!route.isResumable) return;
    const { table, history, gossip } = this.options;
    const isTakenUp = head.lastEventId !== undefined && head.resumes !== undefined;
    const key = createStreamKey(workspace, isTakenUp ? head.resumes : head.id);
    const code = encodeOrigin(origin);
    table.record(key, code, OriginSource.Own);
    if (history.hasSeveral(origin.service)) gossip.announce(key, code);
  }
}
