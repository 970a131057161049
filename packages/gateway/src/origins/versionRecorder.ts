/**
 * Writes the records of versions on behalf of the fleet. A further version of a service joins first: every instance then tells and archives
 * where its streams began. It opens once all instances have confirmed this, or after a time in which they have all read of it.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { MetadataStore } from "../types.js";
import { encodeOrigin, isSameOrigin } from "./streamOrigin.js";
import type { StreamRetention } from "./streamRetention.js";
import type { VersionAge, VersionHistory } from "./versionHistory.js";
import {
  createRecordKey,
  encodeVersionRecord,
  findPhase,
  formatVersions,
  isSameRecord,
  maxViewAgeMs,
  type RecordedVersion,
  VersionPhase,
  type VersionRecord,
} from "./versionRecord.js";
import type { VersionRecords } from "./versionRecords.js";

/** Options of the recorder. */
export interface VersionRecorderOptions {
  readonly store: Pick<MetadataStore, "transact" | "eras">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly history: VersionHistory;
  readonly records: VersionRecords;
  /** Services of the routes whose streams may be resumed. */
  readonly getServices: () => readonly string[];
  /** Returns the names of the routes of which streams may have begun at a service that may still be taken up, in order. */
  readonly listRoutes: (service: string) => readonly string[];
  /** Whether this instance is the one that writes while all goes well. */
  readonly isWriter: () => boolean;
  /** Resolves with whether all instances have read that versions of a service join, and have told where their streams began. */
  readonly confirmJoining: (service: string, codes: readonly number[]) => Promise<boolean>;
  readonly retention: StreamRetention;
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
}

/** Time after which another instance writes what the writer has not, and the spread of these times. */
const substituteMs = 600;
const substituteSpreadMs = 600;
/** Time after which a joining version that does not serve is removed: longer than another instance, which sees it serve, takes to open it. */
const maxJoiningGoneMs = 5_000;
/** Time after a start within which callers of streams that the end of all instances broke off come back. */
const returnMs = 3_000;
/** Time between two writes of one service, if the first has not been read back or has failed. */
const rewriteMs = 400;
/** Time between two calls for confirmation. */
const confirmMs = 100;

/** What this instance has seen and done of one service. */
interface ServiceState {
  /** Monotonic time since which the record should be another one. */
  neededSince: number | undefined;
  /** Monotonic time before which nothing is written, as long as the record has the revision that the last write replaced. */
  pausedUntil: number;
  replacedRevision: number;
  isWriting: boolean;
  /** Monotonic time before which no confirmation is called for. */
  confirmAt: number;
  /** By the code of the version: which phase it is in, and since when this instance has read so. */
  readonly phases: Map<number, { readonly name: string; readonly readAt: number }>;
  /** Codes of joining versions that all instances have confirmed. */
  readonly confirmed: Set<number>;
}

/** Writes the records. */
export class VersionRecorder {
  private readonly states = new Map<string, ServiceState>();
  private readonly substituteAfterMs: number;
  private readonly startedAt: number;

  private constructor(private readonly options: VersionRecorderOptions) {
    this.startedAt = options.clock.getTime();
    this.substituteAfterMs = substituteMs + options.getRandom() * substituteSpreadMs;
    options.records.onRead(() => this.reconcile());
    options.history.onServing(() => this.reconcile());
  }

  static create(options: VersionRecorderOptions): VersionRecorder {
    return new VersionRecorder(options);
  }

  /** Writes what has changed; called several times a second, and when something has. */
  reconcile(): void {
    const { records, getServices } = this.options;
    if (!records.noteListed()) return;
    for (const service of getServices()) this.reconcileService(service);
  }

  private reconcileService(service: string): void {
    const { clock, records, isWriter } = this.options;
    const state = this.ensureState(service);
    const current = records.find(service);
    this.updatePhases(state, current);
    this.confirm(service, state, current);
    const next = this.createNext(service, state, current);
    if (!next) {
      state.neededSince = undefined;
      return;
    }
    const time = clock.getTime();
    state.neededSince ??= time;
    const isSubstitute = time - state.neededSince >= this.substituteAfterMs;
    const isPaused = time < state.pausedUntil && records.getRevision(service) === state.replacedRevision;
    if (state.isWriting || isPaused || !(isWriter() || isSubstitute)) return;
    void this.write(service, state, next);
  }

  /** Returns the record as it should be; undefined if it is so already, or if there is nothing to record. */
  private createNext(
    service: string,
    state: ServiceState,
    current: VersionRecord | undefined,
  ): VersionRecord | undefined {
    const { store, history, records, listRoutes } = this.options;
    const listed = history.list(service);
    const serial = (current?.serial ?? 0) + 1;
    const kept = (current?.versions ?? []).flatMap((version) => {
      const phase = this.findNextPhase(state, listed, version);
      if (!phase) return [];
      const since = phase === version.phase ? version.since : serial;
      return [{ ...version, phase, since, retentionMs: this.raiseRetention(version, phase) }];
    });
    // A record that lacks a version at which streams may have begun was lost, or written by an instance that did not know of it.
    const isAdded = ({ origin, goneMs, mayHaveBegun }: VersionAge): boolean =>
      !findPhase(current, origin) && (goneMs === undefined || mayHaveBegun);
    // Where no stream can have begun, there is none that could go on at another version.
    const isFirst =
      !kept.some(({ phase }) => phase !== VersionPhase.Joining) && !listed.some((one) => one.mayHaveBegun);
    const added = listed.filter(isAdded).map(({ origin, mayHaveBegun }) => {
      const phase = isFirst || mayHaveBegun ? VersionPhase.Open : VersionPhase.Joining;
      return { origin, phase, since: serial, retentionMs: this.raiseRetention({ retentionMs: 0 }, phase) };
    });
    const versions = [...kept, ...added];
    if (versions.length === 0 && !current) return undefined;
    const isProven = records.isProven(service);
    const routes = listRoutes(service);
    const next = { service, serial, era: store.eras.current, isProven, routes, versions };
    return current && isSameRecord(current, next) ? undefined : next;
  }

  /** Returns for how long streams of a version may be taken up: a limit that is lowered does not shorten it. */
  private raiseRetention({ retentionMs }: Pick<RecordedVersion, "retentionMs">, phase: VersionPhase): number {
    const { retention } = this.options;
    return phase === VersionPhase.Open ? Math.max(retentionMs, retention.getSeenMs()) : retentionMs;
  }

  /** Returns the phase that a version should be in; undefined if it is to be removed. */
  private findNextPhase(
    state: ServiceState,
    listed: readonly VersionAge[],
    { origin, phase, retentionMs }: RecordedVersion,
  ): VersionPhase | undefined {
    const code = encodeOrigin(origin);
    const version = listed.find((one) => isSameOrigin(one.origin, origin));
    const goneMs = version?.goneMs;
    const phaseMs = this.options.clock.getTime() - (state.phases.get(code)?.readAt ?? Infinity);
    const isSettled = phaseMs >= maxViewAgeMs;
    switch (phase) {
      case VersionPhase.Joining:
        // A restored store may have lost that it had opened.
        if (version?.mayHaveBegun === true) return VersionPhase.Open;
        if (goneMs !== undefined) return goneMs >= maxJoiningGoneMs ? undefined : phase;
        if (this.mayStreamsReturn(listed)) return phase;
        return isSettled || state.confirmed.has(code) ? VersionPhase.Open : phase;
      case VersionPhase.Open:
        // Another instance may have opened it because it has seen it serve.
        return goneMs !== undefined && Math.min(goneMs, phaseMs) > this.raiseRetention({ retentionMs }, phase)
          ? VersionPhase.Closing
          : phase;
      case VersionPhase.Closing:
        if (goneMs === undefined) return VersionPhase.Open;
        return isSettled ? undefined : phase;
    }
  }

  /**
   * Whether this instance has just started, and a version serves at which streams have begun: if all instances have ended, those that come
   * back now began at it for certain, and once another opens nobody would know.
   */
  private mayStreamsReturn(listed: readonly VersionAge[]): boolean {
    const hasOpen = listed.some(({ mayHaveBegun, goneMs }) => mayHaveBegun && goneMs === undefined);
    return hasOpen && this.options.clock.getTime() - this.startedAt < returnMs;
  }

  private updatePhases(state: ServiceState, current: VersionRecord | undefined): void {
    const codes = new Set<number>();
    for (const { origin, phase, since } of current?.versions ?? []) {
      const code = encodeOrigin(origin);
      codes.add(code);
      const name = [phase, since, current?.era].join();
      if (state.phases.get(code)?.name === name) continue;
      state.phases.set(code, { name, readAt: this.options.clock.getTime() });
      state.confirmed.delete(code);
    }
    for (const code of state.phases.keys()) if (!codes.has(code)) state.phases.delete(code);
  }

  /** Calls for the confirmation of joining versions that serve. */
  private confirm(service: string, state: ServiceState, current: VersionRecord | undefined): void {
    const { clock, isWriter } = this.options;
    const joining = (current?.versions ?? []).filter(({ phase }) => phase === VersionPhase.Joining);
    const codes = joining.map(({ origin }) => encodeOrigin(origin));
    const isConfirmed = codes.every((code) => state.confirmed.has(code));
    if (isConfirmed || clock.getTime() < state.confirmAt || !isWriter()) return;
    state.confirmAt = Infinity;
    void this.callForConfirmation(service, state, codes);
  }

  private async callForConfirmation(
    service: string,
    state: ServiceState,
    codes: readonly number[],
  ): Promise<void> {
    const { clock, confirmJoining } = this.options;
    // A version that has left and joined again meanwhile is in another phase of the same kind.
    const names = codes.map((code) => [code, state.phases.get(code)?.name] as const);
    const isConfirmed = await confirmJoining(service, codes);
    state.confirmAt = clock.getTime() + confirmMs;
    if (!isConfirmed) return;
    for (const [code, name] of names) if (state.phases.get(code)?.name === name) state.confirmed.add(code);
    this.reconcile();
  }

  private async write(service: string, state: ServiceState, next: VersionRecord): Promise<void> {
    const { store, clock, logger, records } = this.options;
    const key = createRecordKey(service);
    const revision = records.getRevision(service);
    state.replacedRevision = revision;
    state.isWriting = true;
    const written = await store.transact({
      expected: [{ key, revision }],
      put: [{ key, value: encodeVersionRecord(next) }],
      remove: [],
    });
    state.isWriting = false;
    // What was written counts once it has been read, as it does for all other instances.
    state.pausedUntil = clock.getTime() + rewriteMs;
    const outcome = written.isOk() ? "written" : written.error.name;
    const { isProven } = next;
    logger.info("versions.recorded", { service, isProven, versions: formatVersions(next), outcome });
    if (records.getRevision(service) !== revision) this.reconcile();
  }

  private ensureState(service: string): ServiceState {
    const known = this.states.get(service);
    if (known) return known;
    const state: ServiceState = {
      neededSince: undefined,
      pausedUntil: -Infinity,
      replacedRevision: 0,
      isWriting: false,
      confirmAt: -Infinity,
      phases: new Map(),
      confirmed: new Set(),
    };
    this.states.set(service, state);
    return state;
  }
}
