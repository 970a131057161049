/**
 * Records which requests were in flight at endpoints that crashed, and derives each request's quarantine state. The state is
 * merged from this instance's own reports and its peers', which may arrive late, twice and in any order.
 *
 * Every request in flight at a crash is a suspect, because nothing shows which one caused it; most are harmless and continue to
 * run. If the next endpoint crashes too, only the suspects in flight there are held responsible. From then on each of them runs
 * isolated from the others, until it gets a complete response, which clears it, or is the only one left that can have caused
 * the crashes.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { CrashSubject, CrashReport, Clearance, CrashEvidence, CrashUpdate } from "./crashUpdates.js";
import { PartRecords } from "./parts/partRecords.js";
import { QuarantineState } from "./quarantineState.js";

/** Suspicion score for one crash: the whole of it for a single suspect; several suspects share it. */
const fullScore = 1;
/**
 * Score up to which a request runs like others. A request with `cooldownScore` is in cooldown, and one above that is blocked. A
 * request that crashes each endpoint it runs at is blocked by its third crash, or by its fourth if two of its runs began before
 * any instance could know. The platform tolerates three crashes, and three more runs after them.
 */
const suspectScore = 1;
/**
 * Highest score for crashes before which the request was not known as a suspect. A request in flight at two such crashes at once
 * is sent often, or was resent at once: that suffices to isolate it, but the crashes may have another cause.
 */
const maxFirstScore = 1.5;
const cooldownScore = 2;
/**
 * Time for which a request in cooldown does not run: two crashes may still be a coincidence, and a caller that retries after a
 * minute is then served.
 */
export const cooldownMs = 60_000;
/**
 * Time after which a suspect that was not sent again is forgotten: endpoints also crash by themselves, and most suspects are
 * harmless.
 */
const suspectLifetimeMs = 600_000;
/**
 * Crashes that are remembered, about 100 bytes for each request in flight: three for each item in the store, up to its bound of
 * items, and some more.
 */
const maxCrashes = 1_024;
/** Suspects kept for one workspace, so that a workspace that crashes endpoints on purpose displaces only its own suspects. */
const maxSuspectsPerWorkspace = 256;
/** Requests in one snapshot for a peer: 60 bytes each, a tenth of a link's outbox. */
const maxSnapshotRequests = 400;

interface InFlightState {
  readonly workspace: string;
  wasSuspect: boolean;
  isCleared: boolean;
}

/** The crash of one incarnation of an endpoint. */
interface EndpointCrash {
  readonly life: string;
  /** Monotonic time at which this instance learned of it. */
  readonly recordedAt: number;
  /** Requests that were in flight, by fingerprint. */
  readonly inFlight: Map<string, InFlightState>;
  isRefuted: boolean;
}

/** Known crashes of endpoints and the requests that were in flight. */
export class CrashRecords {
  /** Crashes by incarnation, the latest last. */
  private readonly crashes = new Map<string, EndpointCrash>();
  private readonly crashesByFingerprint = new Map<string, Set<EndpointCrash>>();
  /** Fingerprints of suspects by workspace, the latest last. */
  private readonly suspectsByWorkspace = new Map<string, Set<string>>();

  /** Evidence about parts of prompts, beside that about whole requests. */
  readonly parts: PartRecords;

  private constructor(private readonly clock: Clock) {
    this.parts = PartRecords.create(clock);
  }

  static create(clock: Clock): CrashRecords {
    return new CrashRecords(clock);
  }

  /** Whether a workspace has suspects; only then the fingerprints of its requests are needed. */
  hasSuspects(workspace: string): boolean {
    return this.suspectsByWorkspace.has(workspace);
  }

  /** Whether an incarnation is reported as crashed and the report is not refuted. */
  hasCrashed(incarnation: string): boolean {
    const crash = this.crashes.get(incarnation);
    return crash !== undefined && !crash.isRefuted;
  }

  /** Monotonic time at which this instance learned of a crash; infinite if it knows of none. */
  getCrashedAt(incarnation: string): number {
    return this.crashes.get(incarnation)?.recordedAt ?? Infinity;
  }

  /** Returns whether and how a request may run. */
  getQuarantineState({ fingerprint }: CrashSubject): QuarantineState {
    const score = this.getScore(fingerprint);
    if (score === 0) return QuarantineState.Clear;
    if (score > cooldownScore) return QuarantineState.Convicted;
    const age = this.getTimeSinceCrash(fingerprint);
    if (score === cooldownScore) return age < cooldownMs ? QuarantineState.Resting : QuarantineState.Isolated;
    if (age >= suspectLifetimeMs) return QuarantineState.Clear;
    return score > suspectScore ? QuarantineState.Isolated : QuarantineState.Suspect;
  }

  /** Milliseconds since this instance learned of the last crash that had a request in flight; infinite if there is none. */
  getTimeSinceCrash(fingerprint: string): number {
    let recordedAt = -Infinity;
    for (const crash of this.crashesByFingerprint.get(fingerprint) ?? []) {
      if (!crash.isRefuted) recordedAt = Math.max(recordedAt, crash.recordedAt);
    }
    return this.clock.getTime() - recordedAt;
  }

  /** Incarnations that crashed with a request in flight, and that it is not cleared of. */
  getUncleared(fingerprint: string): readonly string[] {
    const crashes = [...(this.crashesByFingerprint.get(fingerprint) ?? [])];
    return crashes
      .filter((crash) => countsAgainst(crash, fingerprint))
      .map(({ life: incarnation }) => incarnation);
  }

  /**
   * Crashes that a quarantine state is based on: those before which the request was not a suspect, and those before which it was.
   */
  getEvidence(fingerprint: string): CrashEvidence {
    const incarnations = this.getUncleared(fingerprint);
    const wasSuspect = (incarnation: string): boolean =>
      this.crashes.get(incarnation)?.inFlight.get(fingerprint)?.wasSuspect === true;
    return {
      first: incarnations.filter((incarnation) => !wasSuspect(incarnation)),
      repeated: incarnations.filter((incarnation) => wasSuspect(incarnation)),
    };
  }

  /** Requests whose quarantine state must outlast this instance. */
  getDurable(): readonly CrashSubject[] {
    const durable: CrashSubject[] = [];
    for (const [workspace, fingerprints] of this.suspectsByWorkspace) {
      for (const fingerprint of fingerprints) {
        if (this.getScore(fingerprint) >= cooldownScore) durable.push({ workspace, fingerprint });
      }
    }
    return durable;
  }

  /** Counts suspects, and those of them that are blocked. */
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

  /**
   * Creates a report of a crash: splits the requests in flight into suspects and others. If some were isolated, only these count
   * as suspects.
   */
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

  /** Returns the latest crashes, for a peer that has just connected. */
  createSnapshot(): CrashUpdate {
    const reports: CrashReport[] = [];
    let count = 0;
    for (const crash of [...this.crashes.values()].reverse()) {
      const report = createUnclearedReport(crash);
      count += report.suspects.length + report.others.length;
      if (count > maxSnapshotRequests) break;
      if (!crash.isRefuted && report.suspects.length + report.others.length > 0) reports.push(report);
    }
    const parts = this.parts.createSnapshot();
    return { reports: reports.reverse(), ...((parts.findings ?? parts.clearances) && { parts }) };
  }

  /** Applies an update; returns whether it contained anything new. */
  apply({ reports = [], acquittals = [], refuted = [], parts = {} }: CrashUpdate): boolean {
    let isNew = false;
    for (const report of reports) isNew = this.applyReport(report) || isNew;
    for (const clearance of acquittals) isNew = this.applyClearance(clearance) || isNew;
    for (const incarnation of refuted) isNew = this.refute(incarnation) || isNew;
    isNew = this.parts.apply(parts) || isNew;
    for (const { isConvicted, crashes } of parts.findings ?? []) {
      if (isConvicted) for (const { life } of crashes) this.clearExplained(life);
    }
    return isNew;
  }

  /** Incarnations reported as crashed longer ago than the given time, and not refuted. */
  getCrashedBefore(ageMs: number): readonly string[] {
    const latest = this.clock.getTime() - ageMs;
    return [...this.crashes.values()]
      .filter((crash) => !crash.isRefuted && crash.recordedAt <= latest)
      .map(({ life: incarnation }) => incarnation);
  }

  /** Suspicion score of a request; the crash of one incarnation can be left out. */
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
    // Evicts only now, because a new crash without its requests supports no quarantine state and would itself be evicted.
    this.removeOldest();
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
    this.parts.refute(incarnation);
    this.updateSuspects(crash);
    return true;
  }

  /** Clears the requests that were in flight at a crash which a part of a prompt has caused. */
  private clearExplained(incarnation: string): void {
    const crash = this.crashes.get(incarnation);
    if (!crash) return;
    for (const state of crash.inFlight.values()) state.isCleared = true;
    this.updateSuspects(crash);
  }

  /** Updates the suspects among the requests of a crash. */
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

  /** Evicts the oldest crash that no durable quarantine state is based on. */
  private removeOldest(): void {
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

/** Whether a crash still counts against a request. */
function countsAgainst({ isRefuted, inFlight }: EndpointCrash, fingerprint: string): boolean {
  return !isRefuted && inFlight.get(fingerprint)?.isCleared === false;
}

function countSuspects({ inFlight }: EndpointCrash): number {
  let count = 0;
  for (const { wasSuspect, isCleared } of inFlight.values()) count += wasSuspect && !isCleared ? 1 : 0;
  return count;
}

function createUnclearedReport({ life: incarnation, inFlight }: EndpointCrash): CrashReport {
  const suspects: CrashSubject[] = [];
  const others: CrashSubject[] = [];
  for (const [fingerprint, { workspace, wasSuspect, isCleared }] of inFlight) {
    if (isCleared) continue;
    (wasSuspect ? suspects : others).push({ workspace, fingerprint });
  }
  return { life: incarnation, suspects, others };
}
