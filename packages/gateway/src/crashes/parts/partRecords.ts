/**
 * Records which parts of prompts were aboard at endpoints that crashed, and judges them. A part is held responsible if it was aboard
 * at several crashes in a row, the later ones after it was suspected, and no request with it came back whole meanwhile.
 *
 * What is aboard at each crash beside the responsible part is explained by it: parts that more requests had, or that are known to have
 * run without a crash. Parts that always come together are judged together, so that requests with some of them only may show which.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { QuarantineState } from "../quarantineState.js";
import {
  type PartCrash,
  type PartClearance,
  PartEvidence,
  type PartFinding,
  type PartName,
  type PartUpdate,
} from "./partUpdates.js";
import { countRequests, getScore, PartCrashState, SuspectPart } from "./suspectPart.js";

/** What is to be done with a request because of the parts of its prompt. */
export interface PartJudgment {
  /** `Isolated` if the fleet tries one request with the parts at a time; `Suspect` does not occur. */
  readonly state: QuarantineState;
  /** Ids of the parts that are the reason. */
  readonly parts: readonly string[];
  /** Crashes that speak against the first of them. */
  readonly lives: readonly string[];
}

/** Score above which a part is held responsible. The platform tolerates five crashes, and three more runs after them. */
const maxScore = 2;
/** The same for a part that has run without a crash: one trial may coincide with a crash that has another cause. */
const maxScoreOfKnown = 2.5;
/** Suspicions that are kept in the store at a time, beside verdicts. */
const maxKeptSuspicions = 8;
/** Score from which on a suspicion must outlast all instances; one of a part that is not known to have run must from the first crash on. */
const durableScore = 2;
/** Time from a crash until all instances have reported who was aboard. */
export const reportDelayMs = 150;
/** Time from a crash to the verdict: what peers know for a part arrives within two hops between regions, 120 ms. */
export const verdictDelayMs = 200;
/** Parts of one workspace that are watched, so that a workspace which invents parts displaces only its own. */
const maxPartsPerWorkspace = 128;
/** Time after which parts that nothing speaks against any more are forgotten; reports may be late until then. */
const forgetAfterMs = 60_000;
/** Time after which a crash without a verdict no longer speaks against a part. */
const suspectLifetimeMs = 600_000;
/**
 * Time after a verdict from which on a part that has run without a crash is tried again, and trials that crashed from which on it is not:
 * with the first two crashes, it has then crashed five endpoints.
 */
const retrialAfterMs = 10_000;
const maxTrials = 3;
/** Workspaces from which on a verdict holds for all: one alone may name parts of others. */
const minWorkspaces = 2;
/** Score for the crash of a trial beside which another request had a part that is more likely to be the cause. */
const uncleanTrialScore = 0.5;
/** How many times as many requests with one part there must be as with another for that to be the more likely cause. */
const clearlyFewer = 2;
/** Requests with a part at each crash, in the mean, from which on it is aboard at most crashes by chance. */
const frequentRequests = 2;
/** Crashes that one part must share with another to explain them; a rarer part that was aboard at one by chance explains nothing. */
const minExplained = 2;
/** Unexplained crashes from which on a part that has run without a crash is tried. */
const minUnexplained = 2;
/** Longest id of a part that is watched; requests state ids of any length. */
const maxIdLength = 64;
/** Suspected parts in one snapshot for a peer. */
const maxSnapshotParts = 256;

const crashStates: Readonly<Record<Exclude<PartEvidence, PartEvidence.RanBefore>, PartCrashState>> = {
  [PartEvidence.Survived]: PartCrashState.Survived,
  [PartEvidence.Whole]: PartCrashState.Cleared,
};

const clear: PartJudgment = { state: QuarantineState.Clear, parts: [], lives: [] };

/** Suspected parts of all services. */
export class PartRecords {
  /** By key, in the order in which they were first suspected. */
  private readonly parts = new Map<string, SuspectPart>();
  /** Parts that a crash speaks against, by service and id. */
  private readonly active = new Map<string, Map<string, SuspectPart>>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PartRecords {
    return new PartRecords(clock);
  }

  /** Whether a service has suspected parts; only then the parts of its requests are looked up. */
  hasSuspects(service: string): boolean {
    return this.active.has(service);
  }

  /** Returns those of the given parts that are suspected. */
  getSuspected(service: string, ids: readonly string[]): readonly string[] {
    const active = this.active.get(service);
    if (!active) return [];
    return ids.filter((id) => (active.get(id)?.getOpen().length ?? 0) > 0);
  }

  /** Milliseconds since this instance learned of the last crash that speaks against one of the given parts. */
  getTimeSinceCrash(service: string, ids: readonly string[]): number {
    const active = this.active.get(service);
    const latest = ids.map((id) => active?.get(id)?.getLatestAt() ?? -Infinity);
    return this.clock.getTime() - Math.max(-Infinity, ...latest);
  }

  /** Decides what is done with a request of a workspace whose prompt has the given parts. */
  judge(service: string, workspace: string, ids: readonly string[]): PartJudgment {
    const active = this.active.get(service);
    if (!active) return clear;
    const held: SuspectPart[] = [];
    let refusal: PartJudgment | undefined;
    for (const id of new Set(ids)) {
      const part = active.get(id);
      if (!part) continue;
      const isResponsible = part.isConvicted || this.isResponsible(part);
      if (isResponsible && this.isBinding(part, workspace, ids)) {
        const state = part.isConvicted ? QuarantineState.Convicted : QuarantineState.Resting;
        if (!refusal || state > refusal.state) refusal = { state, parts: [id], lives: part.getUncleared() };
      }
      if (isResponsible || this.needsTrial(part)) held.push(part);
    }
    if (refusal) return refusal;
    if (held.length === 0) return clear;
    return {
      state: QuarantineState.Isolated,
      parts: held.map(({ name }) => name.part),
      lives: held[0]!.getOpen(),
    };
  }

  /** Whether all of the given parts are known to have run without a crash. */
  hasRunAll(service: string, ids: readonly string[]): boolean {
    return ids.every((id) => this.active.get(service)?.get(id)?.hasRun === true);
  }

  /** Applies an update; returns whether it contained anything new. */
  apply({ crashes = [], clearances = [], findings = [] }: PartUpdate): boolean {
    let isNew = false;
    for (const crash of crashes) isNew = this.applyCrash(crash) || isNew;
    for (const finding of findings) isNew = this.applyFinding(finding) || isNew;
    for (const clearance of clearances) isNew = this.applyClearance(clearance) || isNew;
    return isNew;
  }

  /** Removes the crash of an endpoint that turned out to be running. */
  refute(life: string): void {
    for (const part of this.parts.values()) {
      if (!part.crashes.delete(life)) continue;
      part.setStates([], PartCrashState.Cleared);
      this.updateActive(part);
    }
  }

  /** Verdicts that are due: no evidence for the part has arrived for a while after the last crash. */
  findDue(since: number): readonly PartFinding[] {
    const time = this.clock.getTime();
    const due = [...this.getActive()].filter(
      (part) => !part.isConvicted && this.isResponsible(part) && time - part.getLatestAt() >= verdictDelayMs,
    );
    return due.map((part) => ({
      ...this.createFinding(part),
      isConvicted: true,
      companions: this.findCompanions(part),
      since,
    }));
  }

  /** Parts whose suspicion must outlast this instance. */
  getDurable(): readonly SuspectPart[] {
    const time = this.clock.getTime();
    const isSuspicious = (part: SuspectPart): boolean =>
      time - part.getLatestAt() >= reportDelayMs &&
      (!part.hasRun || part.getScore() >= durableScore) &&
      this.getUnexplained(part).length > 0;
    const active = [...this.getActive()];
    const suspicious = active.filter((part) => !part.isConvicted && isSuspicious(part));
    suspicious.sort((one, other) => other.getScore() - one.getScore());
    return [...active.filter(({ isConvicted }) => isConvicted), ...suspicious.slice(0, maxKeptSuspicions)];
  }

  find({ service, part }: PartName): SuspectPart | undefined {
    return this.parts.get(createPartKey(service, part));
  }

  /** Suspected parts without a complete response since their first crash, for evidence that this instance may have. */
  *getActive(): Iterable<SuspectPart> {
    for (const parts of this.active.values()) yield* parts.values();
  }

  createFinding(part: SuspectPart): PartFinding {
    const lives = part.isConvicted ? part.getUncleared() : part.getOpen();
    return {
      ...part.name,
      isConvicted: part.isConvicted,
      hasRun: part.hasRun,
      companions: [...part.getCompanions()],
      workspaces: [...part.workspaces],
      crashes: lives.map((life) => {
        const crash = part.crashes.get(life)!;
        const { isRepeated, isTrial } = crash;
        return { life, isRepeated, isTrial, requests: countRequests(crash) };
      }),
      since: part.since ?? 0,
    };
  }

  /** Returns what a peer that has just connected must know. */
  createSnapshot(): PartUpdate {
    const findings = [...this.getActive()].slice(-maxSnapshotParts).map((part) => this.createFinding(part));
    // The store may still hold suspicions that are out of date.
    const parts = [...this.parts.values()].slice(-maxSnapshotParts);
    const clearances = parts.flatMap((part) => createClearances(part));
    return { ...(findings.length > 0 && { findings }), ...(clearances.length > 0 && { clearances }) };
  }

  /** Forgets old suspicions; called several times a second. */
  expire(): void {
    const time = this.clock.getTime();
    for (const [key, part] of this.parts) {
      const lives = [...part.crashes.keys()];
      const lastAt = Math.max(-Infinity, ...[...part.crashes.values()].map(({ at }) => at));
      if (!part.isConvicted && time - lastAt >= suspectLifetimeMs)
        part.setStates(lives, PartCrashState.Cleared);
      this.updateActive(part);
      if (part.getUncleared().length === 0 && time - lastAt >= forgetAfterMs) this.parts.delete(key);
    }
  }

  /** Counts suspected parts, and those of them that are convicted. */
  count(): { readonly watched: number; readonly convicted: number } {
    const parts = [...this.getActive()];
    return { watched: parts.length, convicted: parts.filter(({ isConvicted }) => isConvicted).length };
  }

  private applyCrash({ life, service, aboard }: PartCrash): boolean {
    const time = this.clock.getTime();
    let isNew = false;
    for (const prompt of aboard) {
      for (const id of new Set(prompt.parts)) {
        const part = this.add({ service, part: id }, prompt.workspace);
        if (!part?.addRequest(life, time, prompt)) continue;
        isNew = true;
        this.updateActive(part);
      }
    }
    return isNew;
  }

  private applyClearance({ service, parts, evidence, lives }: PartClearance): boolean {
    let isNew = false;
    for (const id of parts) {
      const part = this.find({ service, part: id });
      if (!part) continue;
      isNew = !part.hasRun || isNew;
      part.hasRun = true;
      if (evidence !== PartEvidence.RanBefore) isNew = part.setStates(lives, crashStates[evidence]) || isNew;
      this.updateActive(part);
    }
    return isNew;
  }

  private applyFinding(finding: PartFinding): boolean {
    const { service, part: id, isConvicted, companions, workspaces, crashes, since } = finding;
    const part = this.add({ service, part: id }, workspaces[0] ?? "");
    if (!part) return false;
    const time = this.clock.getTime();
    let isNew = false;
    part.hasRun ||= finding.hasRun;
    for (const { life, isRepeated, isTrial, requests } of crashes) {
      isNew = !part.crashes.has(life) || isNew;
      const crash = part.addCrash(life, time);
      crash.isRepeated ||= isRepeated;
      crash.isTrial ||= isTrial;
      crash.foundRequests = Math.max(crash.foundRequests, requests);
    }
    for (const workspace of workspaces) part.workspaces.add(workspace);
    // A verdict that arrives after a complete response has cleared the part of all its crashes is out of date.
    const uncleared = part.getUncleared();
    const isCurrent = crashes.some(({ life }) => uncleared.includes(life));
    if (isConvicted && isCurrent && !part.isConvicted) {
      part.convict(companions, since);
      this.clearExplained(part);
      isNew = true;
    }
    this.updateActive(part);
    return isNew;
  }

  /** Clears all other parts of the crashes that a convicted one explains. */
  private clearExplained(convicted: SuspectPart): void {
    const lives = convicted.getOpen();
    const companions = convicted.getCompanions();
    for (const part of [...(this.active.get(convicted.name.service)?.values() ?? [])]) {
      if (part === convicted || part.isConvicted || companions.has(part.name.part)) continue;
      part.setStates(lives, PartCrashState.Cleared);
      this.updateActive(part);
    }
  }

  private add(name: PartName, owner: string): SuspectPart | undefined {
    const known = this.find(name);
    if (known || name.part.length > maxIdLength) return known;
    const owned = [...this.parts.values()].filter((part) => part.owner === owner);
    if (owned.length >= maxPartsPerWorkspace) {
      const evicted = owned.find(({ isConvicted }) => !isConvicted);
      if (!evicted) return undefined;
      this.remove(evicted);
    }
    const part = SuspectPart.create(name, owner);
    this.parts.set(createPartKey(name.service, name.part), part);
    return part;
  }

  private remove(part: SuspectPart): void {
    const { service, part: id } = part.name;
    this.parts.delete(createPartKey(service, id));
    this.setActive(part, false);
  }

  private updateActive(part: SuspectPart): void {
    this.setActive(part, part.getUncleared().length > 0);
  }

  private setActive(part: SuspectPart, isActive: boolean): void {
    const { service, part: id } = part.name;
    const parts = this.active.get(service) ?? new Map<string, SuspectPart>();
    if (isActive) parts.set(id, part);
    else parts.delete(id);
    if (parts.size > 0) this.active.set(service, parts);
    else this.active.delete(service);
  }

  /** Whether one request with the part is tried at a time. */
  private needsTrial(part: SuspectPart): boolean {
    if (part.getOpen().length === 0) return false;
    if (part.countRepeated() === 0) return !part.hasRun;
    return this.getUnexplained(part).length >= (part.hasRun ? minUnexplained : 1);
  }

  private isResponsible(part: SuspectPart): boolean {
    const bound = part.hasRun ? maxScoreOfKnown : maxScore;
    if (part.getScore() <= bound) return false;
    const lives = this.getUnexplained(part);
    const trials = lives.filter((life) => part.crashes.get(life)!.isTrial);
    const clean = trials.filter((life) => this.isCleanTrial(part, life)).length;
    const trialScore = clean + (trials.length - clean) * uncleanTrialScore;
    return getScore(trialScore, lives.length - trials.length) > bound;
  }

  /** Whether beside the request of a trial that crashed no other request with a more likely part was aboard. */
  private isCleanTrial(part: SuspectPart, life: string): boolean {
    const { together } = part.crashes.get(life)!;
    const others = [...(this.active.get(part.name.service)?.values() ?? [])];
    return !others.some(
      (other) =>
        other !== part &&
        other.isOpen(life) &&
        together?.has(other.name.part) !== true &&
        isAlternative(other, part, life),
    );
  }

  /**
   * Returns the crashes that speak against a part and that no other part explains: one that is more likely to be their cause, and that
   * was aboard at several of them, or at the only one.
   */
  private getUnexplained(part: SuspectPart): readonly string[] {
    const lives = part.getOpen();
    let explained: readonly string[] = [];
    for (const other of this.active.get(part.name.service)?.values() ?? []) {
      if (other === part) continue;
      const common = lives.filter((life) => other.isOpen(life));
      const isRecurrent = common.length >= Math.min(minExplained, lives.length);
      if (!isRecurrent || common.length <= explained.length) continue;
      if (isMoreLikely(other, part, common)) explained = common;
    }
    return lives.filter((life) => !explained.includes(life));
  }

  /** Parts that are as likely to be the cause as this one, and that all requests had with it. */
  private findCompanions(part: SuspectPart): string[] {
    if (part.isConvicted) return [...part.getCompanions()];
    const lives = part.getOpen();
    const active = this.active.get(part.name.service);
    return [...part.getCompanions()].filter((id) => {
      const other = active?.get(id);
      return (
        other !== undefined &&
        lives.every((life) => other.isOpen(life)) &&
        this.getUnexplained(other).length > 0
      );
    });
  }

  /** Whether a verdict holds for a request; one on a part that has run without a crash is put to the test a few times. */
  private isBinding(part: SuspectPart, workspace: string, ids: readonly string[]): boolean {
    const isRested = this.clock.getTime() - part.getLatestAt() >= retrialAfterMs;
    if (part.isConvicted && part.hasRun && isRested && part.countTrials() < maxTrials) return false;
    const isNamed = part.workspaces.size >= minWorkspaces || part.workspaces.has(workspace);
    return isNamed && this.findCompanions(part).every((id) => ids.includes(id));
  }
}

/** Whether a part is more likely to be the cause of crashes at which both were aboard. */
function isMoreLikely(part: SuspectPart, other: SuspectPart, lives: readonly string[]): boolean {
  if (part.hasRun !== other.hasRun) return other.hasRun;
  return part.countRequests(lives) * clearlyFewer <= other.countRequests(lives);
}

/**
 * Whether a part may as well be the cause of the crash of another's trial. Beside one that many requests have, so that it is aboard at most
 * crashes by chance, any part that is as unknown may be.
 */
function isAlternative(part: SuspectPart, other: SuspectPart, life: string): boolean {
  const isEquallyKnown = part.hasRun === other.hasRun;
  if (!isEquallyKnown || !isFrequent(other)) return isMoreLikely(part, other, [life]);
  return part.countRequests([life]) <= other.countRequests([life]);
}

/** Whether several requests with a part were aboard at each crash. */
function isFrequent(part: SuspectPart): boolean {
  const lives = part.getOpen();
  return part.countRequests(lives) >= lives.length * frequentRequests;
}

/** Returns what is known for a part, for a peer that knows only what was kept. */
function createClearances({ name, crashes }: SuspectPart): readonly PartClearance[] {
  const { service, part } = name;
  return ([PartEvidence.Survived, PartEvidence.Whole] as const).flatMap((evidence) => {
    const lives = [...crashes].flatMap(([life, { state }]) =>
      state === crashStates[evidence] ? [life] : [],
    );
    return lives.length > 0 ? [{ service, parts: [part], evidence, lives }] : [];
  });
}

function createPartKey(service: string, part: string): string {
  return `${service}\n${part}`;
}
