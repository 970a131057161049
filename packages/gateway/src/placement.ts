/**
 * Chooses an endpoint: for model engines by the prompt tokens to be read before the first event, less what its memory
 * holds of the prompt; for others by the share of slots taken.
 * @module
 */
import { type Clock, hashText, mixHashes } from "@gladewall/kernel";
import type { Endpoint, PeerWork } from "./endpoint.js";
import { EndpointState } from "./endpoint.js";
import type { PrefixIndex } from "./prefixIndex.js";
import type { PromptPart, Service } from "./types.js";

/** A request as placement sees it. */
export interface PlacementRequest {
  readonly service: Service;
  readonly promptTokens: number;
  readonly parts: readonly PromptPart[];
  /** Lives of endpoints that it was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Urgency, 0 first; the least where it is left out. */
  readonly rank?: number;
  /** Whether it goes only where no permit is needed. */
  readonly avoidsLimited?: boolean;
}

/** A choice and its reason. */
export interface Placement {
  readonly endpoint: Endpoint;
  /** Prompt tokens that the endpoint is expected to read. */
  readonly uncachedTokens: number;
  /** Expected milliseconds until the first event or the answer's start. */
  readonly expectedMs: number;
  /** Prompt tokens known to be waiting there before it. */
  readonly tokensAhead: number;
  readonly candidates: number;
}

/** Options of placement. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly memory: PrefixIndex;
  /** Returns the prompt tokens that a service's engine reads in a millisecond. */
  readonly getReadingRate: (service: string) => number;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  readonly getPeerWork: (endpoint: string) => PeerWork;
  /** Returns a number from 0 to 1, to spread equal choices. */
  readonly getRandom: () => number;
}

/** Milliseconds that a whole share of failures adds to the expected time. */
const failurePenaltyMs = 3_000;
/** Milliseconds that a vanished record adds. */
const unlistedPenaltyMs = 200;
/** Milliseconds that one more running request adds at an engine. */
const runningCostMs = 1.5;
/** Milliseconds by which choices that are as good as equal are spread. */
const tieBreakMs = 4;
/** Milliseconds that work is taken to last where no answer has been seen. */
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

  /** Chooses the endpoint with the least expected time; undefined where none takes work. */
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

  /** Describes what a request meets at an endpoint that was chosen for it otherwise. */
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
    const fresh: Endpoint[] = [];
    const sound: Endpoint[] = [];
    for (const endpoint of this.options.getEndpoints(service.name)) {
      if (!endpoint.acceptsRequest(time, rank) || excluded.has(endpoint.incarnation)) continue;
      if (avoidsLimited && endpoint.availability.limit.perSecond !== undefined) continue;
      fresh.push(endpoint);
      if (!endpoint.isUnreachable(time)) sound.push(endpoint);
    }
    return sound.length > 0 ? sound : fresh;
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
    const readingMs = tokens / this.options.getReadingRate(service.name);
    const full = active >= service.engine.slots ? active - service.engine.slots + 1 : 0;
    return readingMs + active * runningCostMs + full * unknownLatencyMs;
  }
}

function getPenalty(endpoint: Endpoint, time: number): number {
  const unlisted = endpoint.state === EndpointState.Unlisted ? unlistedPenaltyMs : 0;
  return endpoint.getFailureShare(time) * failurePenaltyMs + unlisted;
}

/** The endpoint that all instances choose alike for prompts with the same shared parts. */
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
