/**
 * Chooses a backend: for model engines by the prompt tokens to be read before the first event, less what its memory
 * holds of the prompt; for others by the share of slots taken.
 * @module
 */
import { type Clock, hashText, mixHashes } from "@gladewall/kernel";
import type { Backend, PeerWork } from "./backend.js";
import { BackendState } from "./backend.js";
import type { PrefixMemory } from "./prefixMemory.js";
import type { PromptPart, Service } from "./types.js";

/** A request as placement sees it. */
export interface PlacementRequest {
  readonly service: Service;
  readonly promptTokens: number;
  readonly parts: readonly PromptPart[];
  /** Backends that it was sent to before. */
  readonly excluded: ReadonlySet<string>;
}

/** A choice and its reason. */
export interface Placement {
  readonly backend: Backend;
  /** Prompt tokens that the backend is expected to read. */
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
  readonly memory: PrefixMemory;
  /** Returns the prompt tokens that a service's engine reads in a millisecond. */
  readonly getReadingRate: (service: string) => number;
  readonly getBackends: (service: string) => readonly Backend[];
  readonly getPeerWork: (backend: string) => PeerWork;
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
const spreadMs = 4;
/** Milliseconds that work is taken to last where no answer has been seen. */
const unknownLatencyMs = 50;

/** Chooses backends. */
export class Placer {
  readonly memory: PrefixMemory;

  private constructor(private readonly options: PlacementOptions) {
    this.memory = options.memory;
  }

  static create(options: PlacementOptions): Placer {
    return new Placer(options);
  }

  /** Chooses the backend with the least expected time; undefined where none takes work. */
  choose(request: PlacementRequest): Placement | undefined {
    const candidates = this.getCandidates(request);
    const home = findHome(request.parts, candidates);
    let best: Placement | undefined;
    let bestScore = Infinity;
    for (const backend of candidates) {
      const uncachedTokens = this.getUncachedTokens(request, backend, backend === home);
      const expectedMs = this.getExpectedMs(request.service, backend, uncachedTokens);
      const score = expectedMs + this.getPenalty(backend) + this.options.getRandom() * spreadMs;
      if (score >= bestScore) continue;
      bestScore = score;
      const tokensAhead = this.getPendingTokens(backend);
      best = { backend, uncachedTokens, expectedMs, tokensAhead, candidates: candidates.length };
    }
    return best;
  }

  private getCandidates({ service, excluded }: PlacementRequest): readonly Backend[] {
    const time = this.options.clock.getTime();
    const usable = this.options.getBackends(service.name).filter((backend) => backend.isUsable());
    const fresh = usable.filter((backend) => !excluded.has(backend.id));
    const sound = fresh.filter((backend) => !backend.isSuspect(time));
    if (sound.length > 0) return sound;
    return fresh;
  }

  private getUncachedTokens(
    { promptTokens, parts }: PlacementRequest,
    backend: Backend,
    isHome: boolean,
  ): number {
    let cached = 0;
    const shared = parts.length - 1;
    for (let index = 0; index < parts.length; index++) {
      const part = parts[index];
      if (!part) break;
      const isHeld = this.memory.holds(part.id, backend.id) || (isHome && index < shared);
      if (!isHeld) break;
      cached += part.tokens;
    }
    return Math.max(1, promptTokens - cached);
  }

  private getExpectedMs(service: Service, backend: Backend, uncachedTokens: number): number {
    const peers = this.options.getPeerWork(backend.id);
    const active = backend.active + peers.active;
    if (!service.engine) {
      const latency = backend.latencyMs ?? unknownLatencyMs;
      return latency * (1 + active / Math.max(1, backend.record.slots));
    }
    const tokens = this.getPendingTokens(backend) + uncachedTokens;
    const readingMs = tokens / this.options.getReadingRate(service.name);
    const full = active >= service.engine.slots ? active - service.engine.slots + 1 : 0;
    return readingMs + active * runningCostMs + full * unknownLatencyMs;
  }

  private getPendingTokens(backend: Backend): number {
    return backend.pendingTokens + this.options.getPeerWork(backend.id).pendingTokens;
  }

  private getPenalty(backend: Backend): number {
    const unlisted = backend.state === BackendState.Unlisted ? unlistedPenaltyMs : 0;
    return backend.getFailureShare(this.options.clock.getTime()) * failurePenaltyMs + unlisted;
  }
}

/** The backend that all nodes choose alike for prompts with the same shared parts. */
function findHome(parts: readonly PromptPart[], candidates: readonly Backend[]): Backend | undefined {
  const part = parts.at(-2) ?? parts.at(-1);
  if (!part) return undefined;
  const partHash = hashText(part.id);
  let home: Backend | undefined;
  let highest = -1;
  for (const backend of candidates) {
    const score = mixHashes(partHash, hashText(backend.id));
    if (score <= highest) continue;
    highest = score;
    home = backend;
  }
  return home;
}
