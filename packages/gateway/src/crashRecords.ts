/**
 * Which requests were at endpoints that ended, and what follows for each of them: state on a clock, merged from this
 * instance's own words and its peers', which may come late, twice and in any order.
 *
 * Whoever was at an endpoint that ended is a suspect, as nothing tells which request it was; most are innocent, and run on.
 * Where the next endpoint ends as well, only the suspects there are to blame. From then on each of them runs apart from the
 * others, until one is answered whole, which clears it, or is the only one to blame.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** One request, known again by what it asks. */
export interface CrashSubject {
  /** Name of the workspace; empty on public routes. */
  readonly workspace: string;
  /** Digest of what is asked; the workspace is part of it. */
  readonly fingerprint: string;
}

/** What an instance had sent to an endpoint that ended, and that had not been answered whole. */
export interface CrashReport {
  /** Life of the endpoint. */
  readonly life: string;
  /** Those that were suspects before. */
  readonly suspects: readonly CrashSubject[];
  readonly others: readonly CrashSubject[];
}

/** A request was answered whole: it did not end these endpoints. */
export interface Clearance {
  readonly fingerprint: string;
  readonly lives: readonly string[];
}

/** Lives of endpoints that ended while they had a request. */
export interface CrashEvidence {
  /** It was no suspect before them. */
  readonly first: readonly string[];
  readonly repeated: readonly string[];
}

/** What instances tell each other. */
export interface CrashUpdate {
  readonly reports?: readonly CrashReport[];
  readonly acquittals?: readonly Clearance[];
  /** Lives that turned out not to have ended. */
  readonly refuted?: readonly string[];
}

/** What may be done with a request. */
export enum QuarantineState {
  /** It is like any other. */
  Clear = 1,
  /** It was at one endpoint that ended; it runs while enough of the service is left. */
  Suspect = 2,
  /** It was at two; it runs only where no other such request does. */
  Isolated = 3,
  /** It alone is to blame for two ends; it is not run for a time, then apart once more. */
  Resting = 4,
  /** It is not run any more. */
  Convicted = 5,
}

/** Blame for one end: of one suspect alone; several share it. */
const fullScore = 1;
/**
 * Blame up to which a request runs like others, at which it rests, and above which it is not run any more. One that
 * ends each endpoint it runs at comes to the last with its third end, or with its fourth where two of its runs began
 * before anybody could know. The platform bears three ends, and three more runs after them.
 */
const suspectScore = 1;
/**
 * Most blame for ends before anybody knew of an earlier one. A request that is at two such at once is asked for often, or
 * sent again at once: enough to run it apart, but the ends may have another cause.
 */
const maxFirstScore = 1.5;
const cooldownScore = 2;
/** Time without a run: two ends may still be chance, and a caller that asks again after a minute is served by then. */
export const cooldownMs = 60_000;
/** A suspect that never came back is forgotten: endpoints end by themselves, and most suspects are innocent. */
const suspectLifetimeMs = 600_000;
/**
 * Ended endpoints that are remembered, about 100 bytes for each request that was there: three for each verdict in the
 * store.
 */
const maxCrashes = 1_024;
/** Requests of one workspace that are watched: one that makes endpoints end on purpose pushes out only its own. */
const maxSuspectsPerWorkspace = 256;
/** Requests in one snapshot for a peer; 60 bytes each, a tenth of a link's outbox. */
const maxSnapshotRequests = 400;

interface InFlightState {
  readonly workspace: string;
  wasSuspect: boolean;
  isCleared: boolean;
}

/** The end of one life of an endpoint. */
interface EndpointCrash {
  readonly life: string;
  /** Monotonic time at which it was heard of. */
  readonly recordedAt: number;
  /** Requests that were there, by fingerprint. */
  readonly inFlight: Map<string, InFlightState>;
  isRefuted: boolean;
}

/** All that is known of ended endpoints and of the requests there. */
export class CrashRecords {
  /** Ends by life, the latest at the end. */
  private readonly crashes = new Map<string, EndpointCrash>();
  private readonly crashesByFingerprint = new Map<string, Set<EndpointCrash>>();
  /** Fingerprints to blame for something, by workspace, the latest at the end. */
  private readonly suspectsByWorkspace = new Map<string, Set<string>>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CrashRecords {
    return new CrashRecords(clock);
  }

  /** Whether some request of a workspace is watched: only then a request's fingerprint is needed. */
  hasSuspects(workspace: string): boolean {
    return this.suspectsByWorkspace.has(workspace);
  }

  /** Whether an endpoint's life is held to have ended. */
  hasCrashed(incarnation: string): boolean {
    const crash = this.crashes.get(incarnation);
    return crash !== undefined && !crash.isRefuted;
  }

  /** Returns what may be done with a request. */
  getQuarantineState({ fingerprint }: CrashSubject): QuarantineState {
    const score = this.getScore(fingerprint);
    if (score === 0) return QuarantineState.Clear;
    if (score > cooldownScore) return QuarantineState.Convicted;
    const age = this.getTimeSinceCrash(fingerprint);
    if (score === cooldownScore) return age < cooldownMs ? QuarantineState.Resting : QuarantineState.Isolated;
    if (age >= suspectLifetimeMs) return QuarantineState.Clear;
    return score > suspectScore ? QuarantineState.Isolated : QuarantineState.Suspect;
  }

  /** Milliseconds since an endpoint last ended under a request, as heard here. */
  getTimeSinceCrash(fingerprint: string): number {
    let recordedAt = -Infinity;
    for (const crash of this.crashesByFingerprint.get(fingerprint) ?? []) {
      if (!crash.isRefuted) recordedAt = Math.max(recordedAt, crash.recordedAt);
    }
    return this.clock.getTime() - recordedAt;
  }

  /** Lives of endpoints that ended while a request was there, and that it is not cleared of. */
  getUncleared(fingerprint: string): readonly string[] {
    const crashes = [...(this.crashesByFingerprint.get(fingerprint) ?? [])];
    return crashes
      .filter((crash) => countsAgainst(crash, fingerprint))
      .map(({ life: incarnation }) => incarnation);
  }

  /** The ends that a verdict rests on: those before which a request was no suspect, and those before which it was. */
  getEvidence(fingerprint: string): CrashEvidence {
    const incarnations = this.getUncleared(fingerprint);
    const wasSuspect = (incarnation: string): boolean =>
      this.crashes.get(incarnation)?.inFlight.get(fingerprint)?.wasSuspect === true;
    return {
      first: incarnations.filter((incarnation) => !wasSuspect(incarnation)),
      repeated: incarnations.filter((incarnation) => wasSuspect(incarnation)),
    };
  }

  /** Requests whose verdict must outlast this instance. */
  getDurable(): readonly CrashSubject[] {
    const durable: CrashSubject[] = [];
    for (const [workspace, fingerprints] of this.suspectsByWorkspace) {
      for (const fingerprint of fingerprints) {
        if (this.getScore(fingerprint) >= cooldownScore) durable.push({ workspace, fingerprint });
      }
    }
    return durable;
  }

  /** Requests that are watched, and of these such as are not run any more. */
  count(): { readonly watched: number; readonly convicted: number } {
    let watched = 0;
    let convicted = 0;
    for (const fingerprints of this.suspectsByWorkspace.values()) {
      watched += fingerprints.size;
      for (const fingerprint of fingerprints) {
        convicted += this.getScore(fingerprint) > cooldownScore ? 1 : 0;
      }
    }
    return { watched, convicted };
  }

  /** Sorts those that were at an endpoint by whether they were suspects before it ended; of these, the most to blame. */
  createReport(incarnation: string, inFlight: readonly CrashSubject[]): CrashReport {
    const getPreviousScore = ({ fingerprint }: CrashSubject): number =>
      this.getScore(fingerprint, incarnation);
    const hasIsolated = inFlight.some((subject) => getPreviousScore(subject) > suspectScore);
    const minScore = hasIsolated ? suspectScore : 0;
    const isSuspect = (subject: CrashSubject): boolean => getPreviousScore(subject) > minScore;
    return {
      life: incarnation,
      suspects: inFlight.filter((subject) => isSuspect(subject)),
      others: inFlight.filter((subject) => !isSuspect(subject)),
    };
  }

  /** What is known, for a peer that may know less: the latest ends. */
  createSnapshot(): CrashUpdate {
    const reports: CrashReport[] = [];
    let count = 0;
    for (const crash of [...this.crashes.values()].reverse()) {
      const report = createUnclearedReport(crash);
      count += report.suspects.length + report.others.length;
      if (count > maxSnapshotRequests) break;
      if (!crash.isRefuted && report.suspects.length + report.others.length > 0) reports.push(report);
    }
    return { reports: reports.reverse() };
  }

  /** Takes words; returns whether they told anything new. */
  apply({ reports = [], acquittals = [], refuted = [] }: CrashUpdate): boolean {
    let isNew = false;
    for (const report of reports) isNew = this.applyReport(report) || isNew;
    for (const clearance of acquittals) isNew = this.applyClearance(clearance) || isNew;
    for (const incarnation of refuted) isNew = this.refute(incarnation) || isNew;
    return isNew;
  }

  /** Lives that were noted longer ago than a time and are held to have ended. */
  getCrashedBefore(ageMs: number): readonly string[] {
    const latest = this.clock.getTime() - ageMs;
    return [...this.crashes.values()]
      .filter((crash) => !crash.isRefuted && crash.recordedAt <= latest)
      .map(({ life: incarnation }) => incarnation);
  }

  /** The blame of a request, without the end of one life where that is given. */
  private getScore(fingerprint: string, excluded?: string): number {
    let firstCrashes = 0;
    let repeated = 0;
    for (const crash of this.crashesByFingerprint.get(fingerprint) ?? []) {
      if (crash.life === excluded || !countsAgainst(crash, fingerprint)) continue;
      const suspects = countSuspects(crash);
      const wasSuspect = crash.inFlight.get(fingerprint)?.wasSuspect === true;
      if (wasSuspect) repeated += fullScore / suspects;
      else if (suspects === 0) firstCrashes += 1;
    }
    return Math.min(firstCrashes * fullScore, maxFirstScore) + repeated;
  }

  private applyReport({ life: incarnation, suspects, others }: CrashReport): boolean {
    const isKnown = this.crashes.has(incarnation);
    const crash = this.getCrash(incarnation);
    let isNew = !isKnown;
    for (const subject of suspects) isNew = this.addInFlight(crash, subject, true) || isNew;
    for (const subject of others) isNew = this.addInFlight(crash, subject, false) || isNew;
    if (isNew) this.updateSuspects(crash);
    // Before its requests are noted a new end is needed by nobody, and would be the one to go.
    this.forgetOldest();
    return isNew;
  }

  private getCrash(incarnation: string): EndpointCrash {
    let crash = this.crashes.get(incarnation);
    if (!crash) {
      crash = { life: incarnation, recordedAt: this.clock.getTime(), inFlight: new Map(), isRefuted: false };
      this.crashes.set(incarnation, crash);
    }
    return crash;
  }

  private addInFlight(
    crash: EndpointCrash,
    { workspace, fingerprint }: CrashSubject,
    wasSuspect: boolean,
  ): boolean {
    const state = crash.inFlight.get(fingerprint);
    if (state) {
      if (state.wasSuspect || !wasSuspect) return false;
      state.wasSuspect = true;
      return true;
    }
    crash.inFlight.set(fingerprint, { workspace, wasSuspect, isCleared: false });
    const crashes = this.crashesByFingerprint.get(fingerprint) ?? new Set<EndpointCrash>();
    this.crashesByFingerprint.set(fingerprint, crashes);
    crashes.add(crash);
    return true;
  }

  private applyClearance({ fingerprint, lives: incarnations }: Clearance): boolean {
    let isNew = false;
    for (const incarnation of incarnations) {
      const crash = this.crashes.get(incarnation);
      const state = crash?.inFlight.get(fingerprint);
      if (!crash || !state || state.isCleared) continue;
      state.isCleared = true;
      isNew = true;
      this.updateSuspects(crash);
    }
    return isNew;
  }

  private refute(incarnation: string): boolean {
    const crash = this.crashes.get(incarnation);
    if (!crash || crash.isRefuted) return false;
    crash.isRefuted = true;
    this.updateSuspects(crash);
    return true;
  }

  /** Watches those at an endpoint that are to blame, and no others. */
  private updateSuspects(crash: EndpointCrash): void {
    for (const [fingerprint, { workspace }] of crash.inFlight) {
      if (this.getScore(fingerprint) > 0) this.addSuspect(workspace, fingerprint);
      else this.removeSuspect(workspace, fingerprint);
    }
  }

  private addSuspect(workspace: string, fingerprint: string): void {
    const fingerprints = this.suspectsByWorkspace.get(workspace) ?? new Set<string>();
    this.suspectsByWorkspace.set(workspace, fingerprints);
    fingerprints.add(fingerprint);
    if (fingerprints.size <= maxSuspectsPerWorkspace) return;
    const evicted = [...fingerprints].find((other) => this.getScore(other) <= suspectScore) ?? fingerprint;
    this.forget(evicted);
    this.removeSuspect(workspace, evicted);
  }

  private removeSuspect(workspace: string, fingerprint: string): void {
    const fingerprints = this.suspectsByWorkspace.get(workspace);
    if (!fingerprints?.delete(fingerprint) || fingerprints.size > 0) return;
    this.suspectsByWorkspace.delete(workspace);
  }

  private forget(fingerprint: string): void {
    for (const crash of this.crashesByFingerprint.get(fingerprint) ?? []) crash.inFlight.delete(fingerprint);
    this.crashesByFingerprint.delete(fingerprint);
  }

  /** Forgets the oldest end that no verdict which must last rests on. */
  private forgetOldest(): void {
    if (this.crashes.size <= maxCrashes) return;
    const isDurable = ({ inFlight }: EndpointCrash): boolean =>
      [...inFlight.keys()].some((fingerprint) => this.getScore(fingerprint) >= cooldownScore);
    const crashes = [...this.crashes.values()];
    const oldest = crashes.find((crash) => !isDurable(crash)) ?? crashes[0];
    if (!oldest) return;
    this.crashes.delete(oldest.life);
    for (const [fingerprint, { workspace }] of oldest.inFlight) {
      const remaining = this.crashesByFingerprint.get(fingerprint);
      remaining?.delete(oldest);
      if (remaining?.size === 0) this.crashesByFingerprint.delete(fingerprint);
      if (this.getScore(fingerprint) === 0) this.removeSuspect(workspace, fingerprint);
    }
  }
}

/** Whether an end still speaks against a request. */
function countsAgainst({ isRefuted, inFlight }: EndpointCrash, fingerprint: string): boolean {
  return !isRefuted && inFlight.get(fingerprint)?.isCleared === false;
}

function countSuspects({ inFlight }: EndpointCrash): number {
  let count = 0;
  for (const { wasSuspect, isCleared: isAcquitted } of inFlight.values())
    count += wasSuspect && !isAcquitted ? 1 : 0;
  return count;
}

function createUnclearedReport({ life: incarnation, inFlight }: EndpointCrash): CrashReport {
  const suspects: CrashSubject[] = [];
  const others: CrashSubject[] = [];
  for (const [fingerprint, { workspace, wasSuspect, isCleared: isAcquitted }] of inFlight) {
    if (isAcquitted) continue;
    (wasSuspect ? suspects : others).push({ workspace, fingerprint });
  }
  return { life: incarnation, suspects, others };
}
