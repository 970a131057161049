/**
 * Selects the endpoint for a request: the one with the lowest expected time to the first token, corrected for
 * price, the risk that the instance is reclaimed, and distance.
 *
 * score (ms) = queue wait + prefill of the uncached tokens + distance + price + risk. The lowest score wins.
 * @module
 */
import { PriceClass } from "@gladewall/coordination";
import { Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { promptBlockCharacters } from "./blocks.js";
import type { EndpointLoadEstimate } from "./endpointLoadEstimate.js";
import { getPrefixHomes, type PrefixIndex } from "./prefixes.js";
import type { PlacementAlternative } from "./types.js";

/** Weights of the score. They convert every term to milliseconds, so that it can be added to a wait. */
export interface PlacementOptions {
  /** Milliseconds added for each cent that the endpoint costs per hour. */
  readonly priceWeight: number;
  /** Milliseconds added for a reclaimable instance at the highest priority; scaled down for lower priorities. */
  readonly riskWeight: number;
  /** Round-trip time to another data hall, in milliseconds. */
  readonly hallRoundTripMs: number;
  /** A home endpoint of a prefix gets no cache bonus if its load is above this multiple of the mean load. */
  readonly maxLoadFactor: number;
}

/** A request to be placed. */
export interface PlacementRequest {
  readonly service: string;
  readonly hall: string;
  /** Prompt tokens. */
  readonly tokens: number;
  /** Chained hashes of the prompt's blocks; empty for web services. */
  readonly blocks: readonly number[];
  /** 0 (lowest) to 9 (highest). */
  readonly priority: number;
  /** Endpoints on which this request already failed; used only if no other endpoint is left. */
  readonly excluded: ReadonlySet<string>;
  /** Data halls in which this request already failed; used only if no other data hall is left. */
  readonly avoidedHalls: ReadonlySet<string>;
}

/** The selected endpoint, with the candidates that had the best scores, the selected one first. */
export interface Placement {
  readonly endpoint: EndpointLoadEstimate;
  readonly cachedTokens: number;
  readonly alternatives: readonly PlacementAlternative[];
}

const maxPriority = 9;
const maxAlternatives = 3;
const bytesPerToken = 4;
const tokensPerBlock = promptBlockCharacters / bytesPerToken;
// A home endpoint is assumed to have half of the prefix cached even if this entry has not sent it there yet, because
// another entry may have.
const assumedHomeCacheShare = 0.5;

interface ScoredCandidate {
  readonly load: EndpointLoadEstimate;
  readonly score: number;
  readonly cachedTokens: number;
}

/** Selects an endpoint for a request; fails with `NoEndpoint` if no endpoint accepts work. */
export function placeRequest(
  request: PlacementRequest,
  endpoints: readonly EndpointLoadEstimate[],
  prefixes: PrefixIndex,
  options: PlacementOptions,
): Result<Placement, Failure> {
  const candidates = selectCandidates(request, endpoints);
  if (candidates.length === 0)
    return Err(Failure.create(FailureCode.NoEndpoint, { service: request.service }));
  const cached = getCachedTokens(request, candidates, prefixes, options);
  const best: ScoredCandidate[] = [];
  for (const candidate of candidates) {
    const cachedTokens = cached.get(candidate.record.id) ?? 0;
    insertByScore(best, {
      load: candidate,
      score: scoreEndpoint(request, candidate, cachedTokens, options),
      cachedTokens,
    });
  }
  const [first, ...rest] = best;
  if (!first) return Err(Failure.create(FailureCode.NoEndpoint, { service: request.service }));
  return Ok({
    endpoint: first.load,
    cachedTokens: first.cachedTokens,
    alternatives: [first, ...rest].map(createAlternative),
  });
}

/** Filters the endpoints by each preference in order, and skips a preference that no candidate meets. */
function selectCandidates(
  request: PlacementRequest,
  endpoints: readonly EndpointLoadEstimate[],
): readonly EndpointLoadEstimate[] {
  let candidates = endpoints.filter((load) => !load.isLeaving);
  for (const isPreferred of preferences) {
    const preferred = candidates.filter((load) => isPreferred(request, load));
    if (preferred.length > 0) candidates = preferred;
  }
  return candidates;
}

type Preference = (request: PlacementRequest, load: EndpointLoadEstimate) => boolean;

const preferences: readonly Preference[] = [
  (_, load) => !load.isInBackoff(),
  (request, load) => !request.excluded.has(load.record.id),
  (request, load) => !request.avoidedHalls.has(load.record.hall),
];

function getCachedTokens(
  request: PlacementRequest,
  candidates: readonly EndpointLoadEstimate[],
  prefixes: PrefixIndex,
  options: PlacementOptions,
): ReadonlyMap<string, number> {
  const cached = new Map<string, number>();
  const firstBlock = request.blocks[0];
  if (firstBlock === undefined) return cached;
  for (const [endpoint, blocks] of prefixes.countCachedBlocks(request.blocks))
    cached.set(endpoint, blocks * tokensPerBlock);
  const meanLoad = candidates.reduce((sum, load) => sum + load.getActiveCount(), 0) / candidates.length;
  const bound = options.maxLoadFactor * Math.max(1, meanLoad);
  const assumedTokens = request.blocks.length * tokensPerBlock * assumedHomeCacheShare;
  for (const home of getPrefixHomes(firstBlock, candidates)) {
    if (home.getActiveCount() > bound) continue;
    const known = cached.get(home.record.id) ?? 0;
    cached.set(home.record.id, Math.max(known, assumedTokens));
  }
  return cached;
}

function scoreEndpoint(
  request: PlacementRequest,
  load: EndpointLoadEstimate,
  cachedTokens: number,
  options: PlacementOptions,
): number {
  const wait = load.estimateWaitMs(Math.max(0, request.tokens - cachedTokens));
  const distance = load.record.hall === request.hall ? 0 : options.hallRoundTripMs;
  const price = options.priceWeight * load.record.price;
  const isAtRisk = load.record.priceClass === PriceClass.Reclaimable;
  const risk = isAtRisk ? (options.riskWeight * request.priority) / maxPriority : 0;
  return wait + distance + price + risk;
}

function insertByScore(best: ScoredCandidate[], scored: ScoredCandidate): void {
  const last = best[best.length - 1];
  if (best.length > maxAlternatives && last && !isBetter(scored, last)) return;
  let position = best.length;
  while (position > 0 && isBetter(scored, best[position - 1] as ScoredCandidate)) position -= 1;
  best.splice(position, 0, scored);
  if (best.length > maxAlternatives + 1) best.pop();
}

function isBetter(left: ScoredCandidate, right: ScoredCandidate): boolean {
  return (
    left.score < right.score || (left.score === right.score && left.load.record.id < right.load.record.id)
  );
}

function createAlternative(scored: ScoredCandidate): PlacementAlternative {
  const { load, score, cachedTokens } = scored;
  return {
    endpoint: load.record.id,
    score,
    waitMs: load.estimateWaitMs(0),
    cachedTokens,
    hall: load.record.hall,
    priceClass: load.record.priceClass,
  };
}
