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
const wholeBlame = 1;
/**
 * Blame up to which a request runs like others, at which it rests, and above which it is not run any more. One that
 * ends each endpoint it runs at comes to the last with its third end, or with its fourth where two of its runs began
 * before anybody could know. The platform bears three ends, and three more runs after them.
 */
const suspectBlame = 1;
/**
 * Most blame for ends before anybody knew of an earlier one. A request that is at two such at once is asked for often, or
 * sent again at once: enough to run it apart, but the ends may have another cause.
 */
const mostFirstBlame = 1.5;
const restingBlame = 2;
/** Time without a run: two ends may still be chance, and a caller that asks again after a minute is served by then. */
export const cooldownMs = 60_000;
/** A suspect that never came back is forgotten: endpoints end by themselves, and most suspects are innocent. */
const suspicionMs = 600_000;
/**
 * Ended endpoints that are remembered, about 100 bytes for each request that was there: three for each verdict in the
 * store.
 */
const keptEnds = 1_024;
/** Requests of one workspace that are watched: one that makes endpoints end on purpose pushes out only its own. */
const watchedPerWorkspace = 256;
/** Requests in one snapshot for a peer; 60 bytes each, a tenth of a link's outbox. */
const mostTold = 400;

interface InFlightState {
  readonly workspace: string;
  wasSuspect: boolean;
  isAcquitted: boolean;
}

/** The end of one life of an endpoint. */
interface EndpointEnd {
  readonly life: string;
  /** Monotonic time at which it was heard of. */
  readonly notedAt: number;
  /** Requests that were there, by fingerprint. */
  readonly inFlight: Map<string, InFlightState>;
  isRefuted: boolean;
}

/** All that is known of ended endpoints and of the requests there. */
export class CrashRecords {
  /** Ends by life, the latest at the end. */
  private readonly ends = new Map<string, EndpointEnd>();
  private readonly endsByFingerprint = new Map<string, Set<EndpointEnd>>();
  /** Fingerprints to blame for something, by workspace, the latest at the end. */
  private readonly watched = new Map<string, Set<string>>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CrashRecords {
    return new CrashRecords(clock);
  }

  /** Whether some request of a workspace is watched: only then a request's fingerprint is needed. */
  hasSuspects(workspace: string): boolean {
    return this.watched.has(workspace);
  }

  /** Whether an endpoint's life is held to have ended. */
  hasCrashed(life: string): boolean {
    const end = this.ends.get(life);
    return end !== undefined && !end.isRefuted;
  }

  /** Returns what may be done with a request. */
  getQuarantineState({ fingerprint }: CrashSubject): QuarantineState {
    const blame = this.getBlame(fingerprint);
    if (blame === 0) return QuarantineState.Clear;
    if (blame > restingBlame) return QuarantineState.Convicted;
    const age = this.getTimeSinceCrash(fingerprint);
    if (blame === restingBlame) return age < cooldownMs ? QuarantineState.Resting : QuarantineState.Isolated;
    if (age >= suspicionMs) return QuarantineState.Clear;
    return blame > suspectBlame ? QuarantineState.Isolated : QuarantineState.Suspect;
  }

  /** Milliseconds since an endpoint last ended under a request, as heard here. */
  getTimeSinceCrash(fingerprint: string): number {
    let notedAt = -Infinity;
    for (const end of this.endsByFingerprint.get(fingerprint) ?? []) {
      if (!end.isRefuted) notedAt = Math.max(notedAt, end.notedAt);
    }
    return this.clock.getTime() - notedAt;
  }

  /** Lives of endpoints that ended while a request was there, and that it is not cleared of. */
  getUncleared(fingerprint: string): readonly string[] {
    const ends = [...(this.endsByFingerprint.get(fingerprint) ?? [])];
    return ends.filter((end) => isOpen(end, fingerprint)).map(({ life }) => life);
  }

  /** The ends that a verdict rests on: those before which a request was no suspect, and those before which it was. */
  getEvidence(fingerprint: string): CrashEvidence {
    const lives = this.getUncleared(fingerprint);
    const wasSuspect = (life: string): boolean =>
      this.ends.get(life)?.inFlight.get(fingerprint)?.wasSuspect === true;
    return {
      first: lives.filter((life) => !wasSuspect(life)),
      repeated: lives.filter((life) => wasSuspect(life)),
    };
  }

  /** Requests whose verdict must outlast this instance. */
  getDurable(): readonly CrashSubject[] {
    const kept: CrashSubject[] = [];
    for (const [workspace, fingerprints] of this.watched) {
      for (const fingerprint of fingerprints) {
        if (this.getBlame(fingerprint) >= restingBlame) kept.push({ workspace, fingerprint });
      }
    }
    return kept;
  }

  /** Requests that are watched, and of these such as are not run any more. */
  count(): { readonly watched: number; readonly convicted: number } {
    let watched = 0;
    let convicted = 0;
    for (const fingerprints of this.watched.values()) {
      watched += fingerprints.size;
      for (const fingerprint of fingerprints) {
        convicted += this.getBlame(fingerprint) > restingBlame ? 1 : 0;
      }
    }
    return { watched, convicted };
  }

  /** Sorts those that were at an endpoint by whether they were suspects before it ended; of these, the most to blame. */
  createReport(life: string, aboard: readonly CrashSubject[]): CrashReport {
    const getBefore = ({ fingerprint }: CrashSubject): number => this.getBlame(fingerprint, life);
    const hasIsolated = aboard.some((subject) => getBefore(subject) > suspectBlame);
    const least = hasIsolated ? suspectBlame : 0;
    const isSuspect = (subject: CrashSubject): boolean => getBefore(subject) > least;
    return {
      life,
      suspects: aboard.filter((subject) => isSuspect(subject)),
      others: aboard.filter((subject) => !isSuspect(subject)),
    };
  }

  /** What is known, for a peer that may know less: the latest ends. */
  createSnapshot(): CrashUpdate {
    const reports: CrashReport[] = [];
    let told = 0;
    for (const end of [...this.ends.values()].reverse()) {
      const report = createOpenReport(end);
      told += report.suspects.length + report.others.length;
      if (told > mostTold) break;
      if (!end.isRefuted && report.suspects.length + report.others.length > 0) reports.push(report);
    }
    return { reports: reports.reverse() };
  }

  /** Takes words; returns whether they told anything new. */
  apply({ reports = [], acquittals = [], refuted = [] }: CrashUpdate): boolean {
    let isNew = false;
    for (const report of reports) isNew = this.takeReport(report) || isNew;
    for (const acquittal of acquittals) isNew = this.takeAcquittal(acquittal) || isNew;
    for (const life of refuted) isNew = this.refute(life) || isNew;
    return isNew;
  }

  /** Lives that were noted longer ago than a time and are held to have ended. */
  getCrashedBefore(ageMs: number): readonly string[] {
    const latest = this.clock.getTime() - ageMs;
    return [...this.ends.values()]
      .filter((end) => !end.isRefuted && end.notedAt <= latest)
      .map(({ life }) => life);
  }

  /** The blame of a request, without the end of one life where that is given. */
  private getBlame(fingerprint: string, without?: string): number {
    let firstEnds = 0;
    let repeated = 0;
    for (const end of this.endsByFingerprint.get(fingerprint) ?? []) {
      if (end.life === without || !isOpen(end, fingerprint)) continue;
      const suspects = countSuspects(end);
      const wasSuspect = end.inFlight.get(fingerprint)?.wasSuspect === true;
      if (wasSuspect) repeated += wholeBlame / suspects;
      else if (suspects === 0) firstEnds += 1;
    }
    return Math.min(firstEnds * wholeBlame, mostFirstBlame) + repeated;
  }

  private takeReport({ life, suspects, others }: CrashReport): boolean {
    const isKnown = this.ends.has(life);
    const end = this.getEnd(life);
    let isNew = !isKnown;
    for (const subject of suspects) isNew = this.addInFlight(end, subject, true) || isNew;
    for (const subject of others) isNew = this.addInFlight(end, subject, false) || isNew;
    if (isNew) this.watchAll(end);
    // Before its requests are noted a new end is needed by nobody, and would be the one to go.
    this.forgetOldest();
    return isNew;
  }

  private getEnd(life: string): EndpointEnd {
    let end = this.ends.get(life);
    if (!end) {
      end = { life, notedAt: this.clock.getTime(), inFlight: new Map(), isRefuted: false };
      this.ends.set(life, end);
    }
    return end;
  }

  private addInFlight(
    end: EndpointEnd,
    { workspace, fingerprint }: CrashSubject,
    wasSuspect: boolean,
  ): boolean {
    const state = end.inFlight.get(fingerprint);
    if (state) {
      if (state.wasSuspect || !wasSuspect) return false;
      state.wasSuspect = true;
      return true;
    }
    end.inFlight.set(fingerprint, { workspace, wasSuspect, isAcquitted: false });
    const ends = this.endsByFingerprint.get(fingerprint) ?? new Set<EndpointEnd>();
    this.endsByFingerprint.set(fingerprint, ends);
    ends.add(end);
    return true;
  }

  private takeAcquittal({ fingerprint, lives }: Clearance): boolean {
    let isNew = false;
    for (const life of lives) {
      const end = this.ends.get(life);
      const state = end?.inFlight.get(fingerprint);
      if (!end || !state || state.isAcquitted) continue;
      state.isAcquitted = true;
      isNew = true;
      this.watchAll(end);
    }
    return isNew;
  }

  private refute(life: string): boolean {
    const end = this.ends.get(life);
    if (!end || end.isRefuted) return false;
    end.isRefuted = true;
    this.watchAll(end);
    return true;
  }

  /** Watches those at an endpoint that are to blame, and no others. */
  private watchAll(end: EndpointEnd): void {
    for (const [fingerprint, { workspace }] of end.inFlight) {
      if (this.getBlame(fingerprint) > 0) this.watch(workspace, fingerprint);
      else this.unwatch(workspace, fingerprint);
    }
  }

  private watch(workspace: string, fingerprint: string): void {
    const fingerprints = this.watched.get(workspace) ?? new Set<string>();
    this.watched.set(workspace, fingerprints);
    fingerprints.add(fingerprint);
    if (fingerprints.size <= watchedPerWorkspace) return;
    const dropped = [...fingerprints].find((other) => this.getBlame(other) <= suspectBlame) ?? fingerprint;
    this.drop(dropped);
    this.unwatch(workspace, dropped);
  }

  private unwatch(workspace: string, fingerprint: string): void {
    const fingerprints = this.watched.get(workspace);
    if (!fingerprints?.delete(fingerprint) || fingerprints.size > 0) return;
    this.watched.delete(workspace);
  }

  private drop(fingerprint: string): void {
    for (const end of this.endsByFingerprint.get(fingerprint) ?? []) end.inFlight.delete(fingerprint);
    this.endsByFingerprint.delete(fingerprint);
  }

  /** Forgets the oldest end that no verdict which must last rests on. */
  private forgetOldest(): void {
    if (this.ends.size <= keptEnds) return;
    const isNeeded = ({ inFlight: aboard }: EndpointEnd): boolean =>
      [...aboard.keys()].some((fingerprint) => this.getBlame(fingerprint) >= restingBlame);
    const ends = [...this.ends.values()];
    const oldest = ends.find((end) => !isNeeded(end)) ?? ends[0];
    if (!oldest) return;
    this.ends.delete(oldest.life);
    for (const [fingerprint, { workspace }] of oldest.inFlight) {
      const left = this.endsByFingerprint.get(fingerprint);
      left?.delete(oldest);
      if (left?.size === 0) this.endsByFingerprint.delete(fingerprint);
      if (this.getBlame(fingerprint) === 0) this.unwatch(workspace, fingerprint);
    }
  }
}

/** Whether an end still speaks against a request. */
function isOpen({ isRefuted, inFlight: aboard }: EndpointEnd, fingerprint: string): boolean {
  return !isRefuted && aboard.get(fingerprint)?.isAcquitted === false;
}

function countSuspects({ inFlight: aboard }: EndpointEnd): number {
  let count = 0;
  for (const { wasSuspect, isAcquitted } of aboard.values()) count += wasSuspect && !isAcquitted ? 1 : 0;
  return count;
}

function createOpenReport({ life, inFlight: aboard }: EndpointEnd): CrashReport {
  const suspects: CrashSubject[] = [];
  const others: CrashSubject[] = [];
  for (const [fingerprint, { workspace, wasSuspect, isAcquitted }] of aboard) {
    if (isAcquitted) continue;
    (wasSuspect ? suspects : others).push({ workspace, fingerprint });
  }
  return { life, suspects, others };
}
