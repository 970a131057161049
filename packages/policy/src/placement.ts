/**
 * Placement: the endpoint with the lowest expected time to the first token, corrected by price, risk of reclaim and
 * distance.
 *
 * Score in milliseconds = expected wait + reading of uncached tokens + distance + price + risk. Lower is better.
 * @module
 */
import { PriceClass } from "@gladewall/coordination";
import { Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { promptBlockCharacters } from "./blocks.js";
import type { EndpointLoadEstimate } from "./endpointLoadEstimate.js";
import { getPrefixHomes, type PrefixIndex } from "./prefixes.js";
import type { PlacementAlternative } from "./types.js";

/** Weights of the score; each in milliseconds, so that they can be compared with a wait. */
export interface PlacementOptions {
  /** Milliseconds that one cent an hour is worth. */
  readonly priceWeight: number;
  /** Milliseconds that the risk of a reclaimable instance is worth to the most urgent priority. */
  readonly riskWeight: number;
  /** Milliseconds to another data hall and back. */
  readonly hallRoundTripMs: number;
  /** A prefix home is passed over when it has more than this multiple of the mean load. */
  readonly maxLoadFactor: number;
}

/** What is to be placed. */
export interface PlacementRequest {
  readonly service: string;
  readonly hall: string;
  readonly tokens: number;
  /** Chained hashes of the prompt's blocks; empty for web services. */
  readonly blocks: readonly number[];
  /** 0 to 9. */
  readonly priority: number;
  /** Endpoints that already failed this request: used only when no other is left. */
  readonly excluded: ReadonlySet<string>;
  /** Data halls that already failed this request: used only when no other is left. */
  readonly avoidedHalls: ReadonlySet<string>;
}

/** The endpoint chosen and the best few that were not. */
export interface Placement {
  readonly endpoint: EndpointLoadEstimate;
  readonly cachedTokens: number;
  readonly alternatives: readonly PlacementAlternative[];
}

const highestPriority = 9;
const alternativesKept = 3;
const bytesPerToken = 4;
const tokensPerBlock = promptBlockCharacters / bytesPerToken;
// A home that has not answered this prefix yet is believed to hold it in part: another entry may have sent it there.
const homeBelief = 0.5;

interface Scored {
  readonly load: EndpointLoadEstimate;
  readonly score: number;
  readonly cachedTokens: number;
}

/** Places a request; fails with `NoEndpoint` where no endpoint takes work. */
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
  const best: Scored[] = [];
  for (const load of candidates) {
    const cachedTokens = cached.get(load.record.id) ?? 0;
    insertScored(best, { load, score: scoreEndpoint(request, load, cachedTokens, options), cachedTokens });
  }
  const [first, ...rest] = best;
  if (!first) return Err(Failure.create(FailureCode.NoEndpoint, { service: request.service }));
  return Ok({
    endpoint: first.load,
    cachedTokens: first.cachedTokens,
    alternatives: [first, ...rest].map(createAlternative),
  });
}

/** Narrows the endpoints by each preference in turn, giving up a preference that would leave none. */
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
  const believed = request.blocks.length * tokensPerBlock * homeBelief;
  for (const home of getPrefixHomes(firstBlock, candidates)) {
    if (home.getActiveCount() > bound) continue;
    const known = cached.get(home.record.id) ?? 0;
    cached.set(home.record.id, Math.max(known, believed));
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
  const risk = isAtRisk ? (options.riskWeight * request.priority) / highestPriority : 0;
  return wait + distance + price + risk;
}

function insertScored(best: Scored[], scored: Scored): void {
  const last = best[best.length - 1];
  if (best.length > alternativesKept && last && !isBetter(scored, last)) return;
  let place = best.length;
  while (place > 0 && isBetter(scored, best[place - 1] as Scored)) place -= 1;
  best.splice(place, 0, scored);
  if (best.length > alternativesKept + 1) best.pop();
}

function isBetter(left: Scored, right: Scored): boolean {
  return (
    left.score < right.score || (left.score === right.score && left.load.record.id < right.load.record.id)
  );
}

function createAlternative(scored: Scored): PlacementAlternative {
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
