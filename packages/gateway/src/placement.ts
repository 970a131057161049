/**
 * Chooses an endpoint for a request. Model engines are compared by the prompt tokens to prefill before the first event, less
 * the part of the prompt that the engine has cached; other endpoints by the share of their slots that is taken.
 * @module
 */
import { type Clock, hashText, mixHashes } from "@gladewall/kernel";
import type { Endpoint, PeerWork } from "./endpoint.js";
import { EndpointState } from "./endpoint.js";
import type { PrefixIndex } from "./prefixIndex.js";
import type { PromptPart, Service } from "./types.js";

/** The properties of a request that placement uses. */
export interface PlacementRequest {
  readonly service: Service;
  readonly promptTokens: number;
  readonly parts: readonly PromptPart[];
  /** Incarnations of endpoints that the request was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Urgency, 0 being the most urgent; the least urgent if omitted. */
  readonly rank?: number;
  /** Whether only endpoints that need no permit are considered. */
  readonly avoidsLimited?: boolean;
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
/** Assumed latency in milliseconds of an endpoint that has not responded yet. */
const unknownLatencyMs = 50;

/** Chooses endpoints. */
export class Placer {
  readonly memory: PrefixIndex;

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
    const home = findAffinityEndpoint(request.parts, candidates);
    let best: Placement | undefined;
    let bestScore = Infinity;
    for (const endpoint of candidates) {
      const peers = this.options.getPeerWork(endpoint.incarnation);
      const uncachedTokens = this.getUncachedTokens(request, endpoint, endpoint === home);
      const expectedMs = this.getExpectedMs(request.service, endpoint, peers, uncachedTokens);
      const score = expectedMs + getPenalty(endpoint, time) + this.options.getRandom() * tieBreakMs;
      if (score >= bestScore) continue;
      bestScore = score;
      const tokensAhead = endpoint.pendingTokens + peers.pendingTokens;
      best = { endpoint, uncachedTokens, expectedMs, tokensAhead, candidates: candidates.length };
    }
    return best;
  }

  /** Returns the estimates for an endpoint that was chosen by other means. */
  describe(request: PlacementRequest, endpoint: Endpoint): Placement {
    const peers = this.options.getPeerWork(endpoint.incarnation);
    const uncachedTokens = this.getUncachedTokens(request, endpoint, false);
    const expectedMs = this.getExpectedMs(request.service, endpoint, peers, uncachedTokens);
    const tokensAhead = endpoint.pendingTokens + peers.pendingTokens;
    return { endpoint, uncachedTokens, expectedMs, tokensAhead, candidates: 1 };
  }

  private getCandidates(
    { service, excluded, rank, avoidsLimited = false }: PlacementRequest,
    time: number,
  ): readonly Endpoint[] {
    const eligible: Endpoint[] = [];
    const reachable: Endpoint[] = [];
    for (const endpoint of this.options.getEndpoints(service.name)) {
      if (!endpoint.acceptsRequest(time, rank) || excluded.has(endpoint.incarnation)) continue;
      if (avoidsLimited && endpoint.availability.limit.perSecond !== undefined) continue;
      eligible.push(endpoint);
      if (!endpoint.isUnreachable(time)) reachable.push(endpoint);
    }
    return reachable.length > 0 ? reachable : eligible;
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
  ): number {
    const active = endpoint.active + peers.active;
    if (!service.engine) {
      const latency = endpoint.latencyMs ?? unknownLatencyMs;
      return latency * (1 + active / Math.max(1, endpoint.record.slots));
    }
    const tokens = endpoint.pendingTokens + peers.pendingTokens + uncachedTokens;
    const prefillMs = tokens / this.options.getPrefillRate(service.name);
    const full = active >= service.engine.slots ? active - service.engine.slots + 1 : 0;
    return prefillMs + active * runningCostMs + full * unknownLatencyMs;
  }
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
