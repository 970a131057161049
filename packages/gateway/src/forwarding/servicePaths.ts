/**
 * Whether this instance reaches the endpoints of each service by connections of its own.
 *
 * A path to an endpoint belongs to a pair of instance and endpoint. If all paths to the endpoints of a service are lost, the service
 * is cut off from this instance: its requests are passed on through peers, and probes show when the paths are back, so that no
 * request has to find it out.
 * @module
 */
import { type Clock, type Logger, type Timer } from "@gladewall/kernel";
import { ProbeResult } from "../crashes/endpointProbe.js";
import type { Endpoint } from "../endpoints/endpoint.js";

/** An attempt over a connection of this instance that has no response yet, or whose response has not ended. */
export interface WatchedAttempt {
  /** Ends the attempt, because nothing is received over its connection any more. */
  readonly abort: () => void;
}

/** Options of the paths. */
export interface ServicePathsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly probe: (address: string) => Promise<ProbeResult>;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
}

/** Endpoints that are probed to decide whether a service is cut off. */
const comparedEndpoints = 2;
/** Time after a check without a finding in which none is made again: an endpoint that crashed fails many attempts. */
const checkPauseMs = 400;
/** Time between two probes of a service that is cut off, while they fail and once one has succeeded. */
const probeIntervalMs = 500;
const confirmIntervalMs = 50;
/** Different endpoints that must be reached one after the other for the service to count as reached again. */
const confirmedEndpoints = 3;

interface ServiceState {
  isCutOff: boolean;
  /** Monotonic time of the last sign of life over a connection of this instance. */
  heardAt: number;
  /** Monotonic time of the last check without a finding. */
  checkedAt: number;
  check: Promise<void> | undefined;
  /** Endpoints that were reached by the last probes of a service that is cut off. */
  readonly reached: Set<Endpoint>;
  readonly watched: Set<WatchedAttempt>;
  timer: Timer | undefined;
}

/** Paths of this instance. */
export class ServicePaths {
  private readonly states = new Map<string, ServiceState>();
  private isClosed = false;

  private constructor(private readonly options: ServicePathsOptions) {}

  static create(options: ServicePathsOptions): ServicePaths {
    return new ServicePaths(options);
  }

  /** Whether no endpoint of a service can be reached, as far as this instance knows. */
  isCutOff(service: string): boolean {
    return this.states.get(service)?.isCutOff === true;
  }

  /** Whether requests may be sent to an endpoint over a connection of this instance. */
  isDirect(endpoint: Endpoint): boolean {
    const state = this.states.get(endpoint.record.service);
    return !state?.isCutOff || state.reached.has(endpoint);
  }

  /** Names of the services that are cut off. */
  getCutOff(): readonly string[] {
    return [...this.states].filter(([, { isCutOff }]) => isCutOff).map(([service]) => service);
  }

  /** Milliseconds since an endpoint of a service was last heard over a connection of this instance. */
  getSilenceMs(service: string): number {
    return this.options.clock.getTime() - this.getState(service).heardAt;
  }

  /** Records bytes that an endpoint sent, or a connection that it accepted. */
  recordHeard({ record }: Endpoint): void {
    this.getState(record.service).heardAt = this.options.clock.getTime();
  }

  /** Watches an attempt until the returned function is called; it is aborted if its connection has gone silent. */
  watch({ record }: Endpoint, attempt: WatchedAttempt): () => void {
    const { watched } = this.getState(record.service);
    watched.add(attempt);
    return () => watched.delete(attempt);
  }

  /**
   * Checks whether a service is cut off, after an endpoint could not be reached or stayed silent. Resolves when that is known.
   */
  check(suspect: Endpoint): Promise<void> {
    const { clock } = this.options;
    const state = this.getState(suspect.record.service);
    const isPaused = clock.getTime() - state.checkedAt < checkPauseMs;
    if (state.isCutOff || isPaused || this.isClosed) return state.check ?? Promise.resolve();
    state.check ??= this.runCheck(suspect, state).finally(() => (state.check = undefined));
    return state.check;
  }

  close(): void {
    this.isClosed = true;
    for (const { timer } of this.states.values()) timer?.cancel();
  }

  private async runCheck(suspect: Endpoint, state: ServiceState): Promise<void> {
    const { clock } = this.options;
    const startedAt = clock.getTime();
    const others = this.getUsable(suspect.record.service).filter((endpoint) => endpoint !== suspect);
    const results = await this.probeUntilReached(this.pick(others, comparedEndpoints));
    if (results.includes(ProbeResult.Listening)) {
      state.checkedAt = clock.getTime();
      return;
    }
    if (this.isClosed) return;
    // Connections to a network that refuses may be alive; those to one that is silent are not, unless one was heard meanwhile.
    const hasTimedOut = results.length > 0 && !results.includes(ProbeResult.Refused);
    const isSilent = hasTimedOut && state.heardAt < startedAt;
    this.begin(suspect.record.service, state, isSilent);
  }

  /** Probes endpoints at once; resolves with all results, or as soon as one accepts a connection. */
  private probeUntilReached(endpoints: readonly Endpoint[]): Promise<readonly ProbeResult[]> {
    const probes = endpoints.map(({ record }) => this.options.probe(record.address));
    return new Promise((resolve) => {
      const handleResult = (result: ProbeResult): void => {
        if (result === ProbeResult.Listening) resolve([result]);
      };
      for (const probe of probes) void probe.then(handleResult);
      void Promise.all(probes).then(resolve);
    });
  }

  private begin(service: string, state: ServiceState, isSilent: boolean): void {
    const { logger, clock } = this.options;
    const endpoints = this.getUsable(service);
    const unheardMs = Math.round(clock.getTime() - state.heardAt);
    state.isCutOff = true;
    state.reached.clear();
    logger.warn("paths.lost", { service, endpoints: endpoints.length, unheardMs, silent: isSilent });
    // They count as unreachable only if a peer does not reach them either.
    for (const endpoint of endpoints) endpoint.clearUnreachable();
    if (isSilent) for (const attempt of [...state.watched]) attempt.abort();
    this.scheduleProbe(service, state, probeIntervalMs);
  }

  private scheduleProbe(service: string, state: ServiceState, delayMs: number): void {
    const jitter = 0.5 + this.options.getRandom();
    state.timer = this.options.clock.startTimer(delayMs * jitter, () => void this.probeOne(service, state));
  }

  private async probeOne(service: string, state: ServiceState): Promise<void> {
    const usable = this.getUsable(service);
    const [endpoint] = this.pick(
      usable.filter((one) => !state.reached.has(one)),
      1,
    );
    const isReached =
      endpoint !== undefined && (await this.options.probe(endpoint.record.address)) === ProbeResult.Listening;
    if (this.isClosed) return;
    if (isReached) state.reached.add(endpoint);
    else state.reached.clear();
    const isRegained =
      usable.length === 0 || state.reached.size >= Math.min(confirmedEndpoints, usable.length);
    if (isRegained) return this.end(service, state);
    this.scheduleProbe(service, state, isReached ? confirmIntervalMs : probeIntervalMs);
  }

  private end(service: string, state: ServiceState): void {
    state.isCutOff = false;
    state.timer = undefined;
    this.options.logger.info("paths.regained", { service, reached: state.reached.size });
    state.reached.clear();
  }

  /** Picks some endpoints at random. */
  private pick(endpoints: readonly Endpoint[], count: number): readonly Endpoint[] {
    const ordered = endpoints.map((endpoint) => ({ endpoint, order: this.options.getRandom() }));
    ordered.sort((one, other) => one.order - other.order);
    return ordered.slice(0, count).map(({ endpoint }) => endpoint);
  }

  private getUsable(service: string): readonly Endpoint[] {
    return this.options.getEndpoints(service).filter((endpoint) => endpoint.isUsable());
  }

  private getState(service: string): ServiceState {
    let state = this.states.get(service);
    if (!state) {
      state = {
        isCutOff: false,
        heardAt: -Infinity,
        checkedAt: -Infinity,
        check: undefined,
        reached: new Set(),
        watched: new Set(),
        timer: undefined,
      };
      this.states.set(service, state);
    }
    return state;
  }
}
