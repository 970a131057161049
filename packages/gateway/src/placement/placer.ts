/**
 * Chooses an endpoint for a request. Model engines are compared by the prompt tokens to prefill before the first event, less
 * the part of the prompt that the engine has cached; other endpoints by the share of their slots that is taken or, if they report
 * their pace, by the time at which they are expected to complete the request.
 * @module
 */
import { type Clock, hashText, mixHashes } from "@gladewall/kernel";
import type { Endpoint, PeerWork } from "../endpoints/endpoint.js";
import { EndpointState, unknownLatencyMs } from "../endpoints/endpoint.js";
import { CompletionDraw } from "./completionDraw.js";
import { mayServe, type RequiredOrigin } from "../origins/streamOrigin.js";
import type { PrefixIndex } from "./prefixIndex.js";
import type { PromptPart, Service } from "../types.js";

/** The properties of a request that placement uses. */
export interface PlacementRequest {
  readonly service: Service;
  readonly promptTokens: number;
  readonly parts: readonly PromptPart[];
  /** Incarnations of endpoints that the request was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Where the stream began that the request goes on with; undefined if any endpoint of the service may serve it. */
  readonly origin?: RequiredOrigin | undefined;
  /** Urgency, 0 being the most urgent; the least urgent if omitted. */
  readonly rank?: number;
  /** Whether only endpoints that need no permit are considered. */
  readonly avoidsLimited?: boolean;
  /** Whether endpoints that may be full are considered too, because an arbiter knows which are. */
  readonly includesFull?: boolean;
}

/** A chosen endpoint and the estimates that the choice is based on. */
export interface Placement {
  readonly endpoint: Endpoint;
  /** Prompt tokens that the endpoint is expected to prefill, as they are not cached. */
  readonly uncachedTokens: number;
  /** Expected milliseconds until the first event or the response head. */
  readonly expectedMs: number;
  /** Prompt tokens known to be queued at the endpoint before this request. */
  readonly tokensAhead: number;
  /** Reported pace of the endpoint that the choice is based on; undefined if it is not based on one. */
  readonly pace: number | undefined;
  /** Number of endpoints that were compared. */
  readonly candidates: number;
}

/** Options of placement. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly memory: PrefixIndex;
  /** Returns the prompt tokens that a service's engine prefills in a millisecond. */
  readonly getPrefillRate: (service: string) => number;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  readonly getPeerWork: (endpoint: string) => PeerWork;
  /** Returns the number of instances that read the same reports; 1 if omitted. */
  readonly getFleetSize?: () => number;
  /** Returns the refusals a second that an endpoint of a service bears; omitted or undefined if any number. */
  readonly getRefusalLimit?: (service: string) => number | undefined;
  /** Whether the load that endpoints report is used; it is if omitted. */
  readonly usesReportedLoad?: () => boolean;
  /** Returns a number from 0 to 1, to break ties between endpoints. */
  readonly getRandom: () => number;
}

/** Milliseconds added to the expected time of an endpoint that fails all requests; in proportion for fewer failures. */
const failurePenaltyMs = 3_000;
/** Milliseconds added for an endpoint whose record has vanished from the store. */
const unlistedPenaltyMs = 200;
/** Milliseconds that each running request adds at an engine. */
const runningCostMs = 1.5;
/** Largest random addition in milliseconds; it spreads requests over endpoints that are nearly equal. */
const tieBreakMs = 4;
/** Milliseconds that each request beyond an engine's slots adds. */
const queuedCostMs = 50;
/** Share of an engine's slots up to which it gets requests while it crashes if it refuses too much. */
const brittleShare = 0.75;

/** Chooses endpoints. */
export class Placer {
  readonly memory: PrefixIndex;
  private readonly draw = CompletionDraw.create();

  private constructor(private readonly options: PlacementOptions) {
    this.memory = options.memory;
  }

  static create(options: PlacementOptions): Placer {
    return new Placer(options);
  }

  /** Returns the endpoint with the lowest expected time; undefined if none accepts requests. */
  choose(request: PlacementRequest): Placement | undefined {
    const time = this.options.clock.getTime();
    const candidates = this.getCandidates(request, time);
    if (this.comparesCompletion(request, candidates, time))
      return this.chooseByCompletion(request, candidates, time);
    const home = findAffinityEndpoint(request.parts, candidates);
    let best: Endpoint | undefined;
    let bestScore = Infinity;
    let uncachedTokens = 0;
    let expectedMs = 0;
    for (const endpoint of candidates) {
      const peers = this.options.getPeerWork(endpoint.incarnation);
      const tokens = this.getUncachedTokens(request, endpoint, endpoint === home);
      const pace = this.getPace(endpoint, time);
      const milliseconds = this.getExpectedMs(request.service, endpoint, peers, tokens, pace);
      const score = milliseconds + getPenalty(endpoint, time) + this.options.getRandom() * tieBreakMs;
      if (score >= bestScore) continue;
      bestScore = score;
      best = endpoint;
      uncachedTokens = tokens;
      expectedMs = milliseconds;
    }
    if (!best) return undefined;
    const tokensAhead = best.pendingTokens + this.options.getPeerWork(best.incarnation).pendingTokens;
    const pace = this.findEnginePace(request.service, best, time);
    return { endpoint: best, uncachedTokens, expectedMs, tokensAhead, pace, candidates: candidates.length };
  }

  /** Returns the incarnations of the engines with the lowest expected times, the lowest first. */
  rank(request: PlacementRequest, count: number): readonly string[] {
    const time = this.options.clock.getTime();
    const candidates = this.getCandidates({ ...request, includesFull: true }, time);
    const home = findAffinityEndpoint(request.parts, candidates);
    const scored = candidates.map((endpoint) => {
      const peers = this.options.getPeerWork(endpoint.incarnation);
      const tokens = this.getUncachedTokens(request, endpoint, endpoint === home);
      const pace = this.getPace(endpoint, time);
      const milliseconds = this.getExpectedMs(request.service, endpoint, peers, tokens, pace);
      const score = milliseconds + getPenalty(endpoint, time) + this.options.getRandom() * tieBreakMs;
      return { incarnation: endpoint.incarnation, score };
    });
    scored.sort((one, other) => one.score - other.score);
    return scored.slice(0, count).map(({ incarnation }) => incarnation);
  }

  /** Returns the estimates for an endpoint that was chosen by other means. */
  describe(request: PlacementRequest, endpoint: Endpoint): Placement {
    const time = this.options.clock.getTime();
    const { service } = request;
    const peers = this.options.getPeerWork(endpoint.incarnation);
    const uncachedTokens = this.getUncachedTokens(request, endpoint, false);
    const expectedMs = this.getExpectedMs(
      service,
      endpoint,
      peers,
      uncachedTokens,
      this.getPace(endpoint, time),
    );
    const tokensAhead = endpoint.pendingTokens + peers.pendingTokens;
    const pace = this.findEnginePace(service, endpoint, time);
    return { endpoint, uncachedTokens, expectedMs, tokensAhead, pace, candidates: 1 };
  }

  /** Returns the factor by which work takes longer than usual at an endpoint; 1 if it is unknown or not to be used. */
  getPace(endpoint: Endpoint, time: number): number {
    return this.usesReportedLoad() ? endpoint.capacity.getPace(time) : 1;
  }

  private usesReportedLoad(): boolean {
    return this.options.usesReportedLoad?.() ?? true;
  }

  private comparesCompletion(
    { service }: PlacementRequest,
    candidates: readonly Endpoint[],
    time: number,
  ): boolean {
    if (service.engine || !this.usesReportedLoad()) return false;
    return candidates.some(({ capacity }) => capacity.hasPace(time));
  }

  private chooseByCompletion(
    { promptTokens }: PlacementRequest,
    candidates: readonly Endpoint[],
    time: number,
  ): Placement | undefined {
    const { draw } = this;
    const { getPeerWork, getFleetSize, getRandom } = this.options;
    draw.begin(time, getMeanLatency(candidates));
    for (const endpoint of candidates)
      draw.add(endpoint, getPeerWork(endpoint.incarnation).active, getPenalty(endpoint, time));
    const index = draw.select(getFleetSize?.() ?? 1, getRandom);
    const endpoint = candidates[index];
    if (!endpoint) return undefined;
    return {
      endpoint,
      uncachedTokens: Math.max(1, promptTokens),
      expectedMs: draw.getExpectedMs(index),
      tokensAhead: endpoint.pendingTokens + getPeerWork(endpoint.incarnation).pendingTokens,
      pace: endpoint.capacity.hasPace(time) ? endpoint.capacity.getPace(time) : undefined,
      candidates: candidates.length,
    };
  }

  private findEnginePace(service: Service, { capacity }: Endpoint, time: number): number | undefined {
    if (!service.engine || !this.usesReportedLoad() || !capacity.hasPace(time)) return undefined;
    return capacity.getPace(time);
  }

  private getCandidates(
    { service, excluded, origin, rank, avoidsLimited = false, includesFull = false }: PlacementRequest,
    time: number,
  ): readonly Endpoint[] {
    const eligible: Endpoint[] = [];
    const isBrittle =
      !includesFull &&
      service.engine !== undefined &&
      this.options.getRefusalLimit?.(service.name) !== undefined;
    let reachable = 0;
    for (const endpoint of this.options.getEndpoints(service.name)) {
      if (!endpoint.acceptsRequest(time, rank) || excluded.has(endpoint.incarnation)) continue;
      if (!mayServe(origin, endpoint)) continue;
      if (avoidsLimited && endpoint.availability.limit.perSecond !== undefined) continue;
      if (isBrittle && this.isNearlyFull(endpoint, time)) continue;
      eligible.push(endpoint);
      if (!endpoint.isUnreachable(time)) reachable += 1;
    }
    if (reachable === 0 || reachable === eligible.length) return eligible;
    return eligible.filter((endpoint) => !endpoint.isUnreachable(time));
  }

  /** Whether an engine could have to refuse a request: what peers have sent is known some hundred milliseconds late. */
  private isNearlyFull(endpoint: Endpoint, time: number): boolean {
    const known = endpoint.active + this.options.getPeerWork(endpoint.incarnation).active;
    const reported = endpoint.capacity.estimate(time).requests;
    return Math.max(known, reported) >= endpoint.record.slots * brittleShare;
  }

  private getUncachedTokens(
    { promptTokens, parts }: PlacementRequest,
    endpoint: Endpoint,
    isHome: boolean,
  ): number {
    let cached = 0;
    const shared = parts.length - 1;
    for (let index = 0; index < parts.length; index++) {
      const part = parts[index];
      if (!part) break;
      const isHeld = this.memory.holds(part.id, endpoint.incarnation) || (isHome && index < shared);
      if (!isHeld) break;
      cached += part.tokens;
    }
    return Math.max(1, promptTokens - cached);
  }

  private getExpectedMs(
    service: Service,
    endpoint: Endpoint,
    peers: PeerWork,
    uncachedTokens: number,
    pace: number,
  ): number {
    const active = endpoint.active + peers.active;
    if (!service.engine) {
      return endpoint.getLatency() * (1 + active / Math.max(1, endpoint.record.slots));
    }
    const tokens = endpoint.pendingTokens + peers.pendingTokens + uncachedTokens;
    const prefillMs = tokens / this.options.getPrefillRate(service.name);
    const full = active >= service.engine.slots ? active - service.engine.slots + 1 : 0;
    const usualMs = prefillMs + active * runningCostMs + full * queuedCostMs;
    return usualMs * pace;
  }
}

/** Returns the mean of the latencies of the endpoints that have responded; an assumed one if none has. */
function getMeanLatency(endpoints: readonly Endpoint[]): number {
  let sum = 0;
  let count = 0;
  for (const { latencyMs } of endpoints) {
    if (latencyMs === undefined) continue;
    sum += latencyMs;
    count += 1;
  }
  return count > 0 ? sum / count : unknownLatencyMs;
}

function getPenalty(endpoint: Endpoint, time: number): number {
  const unlisted = endpoint.state === EndpointState.Unlisted ? unlistedPenaltyMs : 0;
  return endpoint.getFailureShare(time) * failurePenaltyMs + unlisted;
}

/** Returns the endpoint that all instances prefer for prompts with the same shared parts (rendezvous hashing). */
function findAffinityEndpoint(
  parts: readonly PromptPart[],
  candidates: readonly Endpoint[],
): Endpoint | undefined {
  const part = parts.at(-2) ?? parts.at(-1);
  if (!part) return undefined;
  const partHash = hashText(part.id);
  let home: Endpoint | undefined;
  let highest = -1;
  for (const endpoint of candidates) {
    const score = mixHashes(partHash, endpoint.hash);
    if (score <= highest) continue;
    highest = score;
    home = endpoint;
  }
  return home;
}
