/**
 * One part of prompts that was aboard at endpoints when they crashed, and what speaks against it and for it.
 * @module
 */
import type { PartName, PromptAboard } from "./partUpdates.js";

/** Whether a crash still speaks against a part. Later members are stronger. */
export enum PartCrashState {
  Open = 1,
  /** A request with the part that began later has been streaming for longer than a crash takes. */
  Survived = 2,
  /** A request with the part that began later came back whole, or the crash is explained otherwise. */
  Cleared = 3,
}

/** A crash with a part aboard. */
export interface CrashWithPart {
  /** Monotonic time at which this instance learned of it. */
  readonly at: number;
  state: PartCrashState;
  /** Whether the part was already suspected when a request with it was sent to the endpoint. */
  isRepeated: boolean;
  /** Whether such a request was isolated because of the part. */
  isTrial: boolean;
  /** Fingerprints of the requests with the part. */
  readonly requests: Set<string>;
  /** Number of these requests as peers or the store tell it, who do not name them. */
  foundRequests: number;
  /** Ids of the other parts that all these requests had; undefined if it is not known. */
  together: ReadonlySet<string> | undefined;
}

/** Requests with a part that are counted at one crash. */
const maxRequests = 64;
/** Crashes that are remembered of one part. */
const maxCrashes = 32;
/** Score for one crash beside which much else may have been the cause, and for several. */
const firstScore = 1;
const severalFirstScore = 1.5;

/** A suspected part. */
export class SuspectPart {
  /** By incarnation, the earliest first. */
  readonly crashes = new Map<string, CrashWithPart>();
  readonly workspaces = new Set<string>();
  /** Whether a request with the part is known to have run without a crash. */
  hasRun = false;
  isConvicted = false;
  /** Unix milliseconds of the verdict, or of the first suspicion that was kept. */
  since: number | undefined;
  private companions: ReadonlySet<string> | undefined;

  private constructor(
    readonly name: PartName,
    /** Workspace that was the first to have it aboard at a crash. */
    readonly owner: string,
  ) {}

  static create(name: PartName, owner: string): SuspectPart {
    return new SuspectPart(name, owner);
  }

  /** Incarnations whose crashes speak against the part. */
  getOpen(): readonly string[] {
    return [...this.crashes].flatMap(([life, { state }]) => (state === PartCrashState.Open ? [life] : []));
  }

  /** Incarnations that no complete response has cleared it of. */
  getUncleared(): readonly string[] {
    return [...this.crashes].flatMap(([life, { state }]) => (state === PartCrashState.Cleared ? [] : [life]));
  }

  isOpen(life: string): boolean {
    return this.crashes.get(life)?.state === PartCrashState.Open;
  }

  /** Monotonic time of the latest crash that speaks against it; minus infinity if none does. */
  getLatestAt(): number {
    return Math.max(-Infinity, ...this.getOpen().map((life) => this.crashes.get(life)!.at));
  }

  /** Crashes at which it was suspected before. */
  countRepeated(): number {
    return this.getOpen().filter((life) => this.crashes.get(life)!.isRepeated).length;
  }

  /** Crashes at which it was tried. */
  countTrials(): number {
    return this.getOpen().filter((life) => this.crashes.get(life)!.isTrial).length;
  }

  /** Sum over the crashes that speak against it. */
  getScore(): number {
    const trials = this.countTrials();
    return getScore(trials, this.getOpen().length - trials);
  }

  /** Requests with the part at the given crashes. */
  countRequests(lives: readonly string[]): number {
    const crashes = lives.map((life) => this.crashes.get(life));
    return crashes.reduce((sum, crash) => sum + (crash ? countRequests(crash) : 0), 0);
  }

  /** Adds a request at a crash; returns whether it was new. */
  addRequest(life: string, at: number, prompt: PromptAboard): boolean {
    const { fingerprint, workspace, parts, suspected, tried } = prompt;
    const id = this.name.part;
    const crash = this.addCrash(life, at);
    if (crash.requests.has(fingerprint) || crash.requests.size >= maxRequests) return false;
    crash.requests.add(fingerprint);
    crash.isRepeated ||= suspected.includes(id);
    crash.isTrial ||= tried.includes(id);
    crash.together = intersect(crash.together, new Set(parts.filter((other) => other !== id)));
    // A verdict is on what all such requests had in common.
    if (this.companions) this.companions = intersect(this.companions, crash.together);
    this.workspaces.add(workspace);
    return true;
  }

  /** Returns a crash, which it adds if it is new. */
  addCrash(life: string, at: number): CrashWithPart {
    const known = this.crashes.get(life);
    if (known) return known;
    const crash: CrashWithPart = {
      at,
      state: PartCrashState.Open,
      isRepeated: false,
      isTrial: false,
      requests: new Set(),
      foundRequests: 0,
      together: undefined,
    };
    this.crashes.set(life, crash);
    if (this.crashes.size > maxCrashes) this.crashes.delete(this.crashes.keys().next().value!);
    return crash;
  }

  /** Strengthens the state of crashes; returns whether any of them changed. */
  setStates(lives: readonly string[], state: PartCrashState): boolean {
    let hasChanged = false;
    for (const life of lives) {
      const crash = this.crashes.get(life);
      if (!crash || crash.state >= state) continue;
      crash.state = state;
      hasChanged = true;
    }
    if (this.getUncleared().length === 0) this.pardon();
    return hasChanged;
  }

  /** Ids of the parts that all requests with this one had at the crashes that speak against it. */
  getCompanions(): ReadonlySet<string> {
    if (this.companions) return this.companions;
    let common: ReadonlySet<string> | undefined;
    for (const life of this.getOpen()) {
      const { together } = this.crashes.get(life)!;
      if (together) common = intersect(common, together);
    }
    return common ?? new Set();
  }

  convict(companions: Iterable<string>, since: number): void {
    this.isConvicted = true;
    this.companions = new Set(companions);
    this.since = since;
  }

  private pardon(): void {
    this.isConvicted = false;
    this.companions = undefined;
    this.since = undefined;
    this.workspaces.clear();
  }
}

/** Returns the score for trials that crashed, each of which counts for itself, and for other crashes, which count little more than one. */
export function getScore(trialScore: number, others: number): number {
  return (others > 1 ? severalFirstScore : others * firstScore) + trialScore;
}

/** Requests with the part at one crash. */
export function countRequests({ requests, foundRequests }: CrashWithPart): number {
  return Math.max(requests.size, foundRequests);
}

function intersect(known: ReadonlySet<string> | undefined, others: ReadonlySet<string>): ReadonlySet<string> {
  return known ? new Set([...known].filter((id) => others.has(id))) : others;
}
