/**
 * Decides, for the whole fleet, at which endpoint an isolated request runs next: one where no other such request does, while
 * half of the service is left to everybody else.
 * @module
 */
import type { Clock, Timer } from "@gladewall/kernel";
import { type CrashRecords, type CrashSubject, QuarantineState } from "./crashRecords.js";
import type { Endpoint, PeerWork } from "./endpoint.js";

/** An isolated request that is to run. */
export interface TrialCallArguments {
  readonly service: string;
  readonly subject: CrashSubject;
  /** Lives of endpoints that it was sent to before. */
  readonly excluded: readonly string[];
  /** Time for which it can wait for an endpoint. */
  readonly waitMs: number;
}

/** What becomes of it. */
export enum TrialDecision {
  /** It may run at an endpoint. */
  Granted = 1,
  /** Others run wherever it could, or too few endpoints are left. */
  Busy = 2,
  /** It is not to be run now. */
  Refused = 3,
  /** The receiver does not know enough to decide. */
  Unknown = 4,
}

/** Answer to a question. */
export interface TrialReply {
  readonly word: TrialDecision;
  /** Life of the endpoint, where the word is that it may run. */
  readonly life?: string;
}

/** Options of the grants. */
export interface TrialSchedulerOptions {
  readonly clock: Clock;
  readonly records: CrashRecords;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  readonly getPeerWork: (incarnation: string) => PeerWork;
}

interface Grant {
  readonly fingerprint: string;
  readonly timer: Timer;
}

interface Waiter {
  readonly request: TrialCallArguments;
  readonly resolve: (reply: TrialReply) => void;
  readonly timer: Timer;
}

/** A grant whose end nobody tells is over after this long; a request that ended endpoints did so within 0.3 s. */
const maxTrialMs = 1_500;
/** Part of a service that may be ended or under trial at the same time. */
const maxUnavailableShare = 0.5;
/** Requests that wait for an endpoint; more are told at once that none is free. */
const maxWaiting = 256;

const busy: TrialReply = { word: TrialDecision.Busy };

/** Endpoints that isolated requests run at. */
export class TrialScheduler {
  /** Grants by the endpoint's life. */
  private readonly grants = new Map<string, Grant>();
  /** In the order in which they came. */
  private waiters: Waiter[] = [];

  private constructor(private readonly options: TrialSchedulerOptions) {}

  static create(options: TrialSchedulerOptions): TrialScheduler {
    return new TrialScheduler(options);
  }

  /** Resolves with an endpoint once one is free, or when the request can't wait any more. */
  decideOrWait(request: TrialCallArguments): Promise<TrialReply> {
    const reply = this.decide(request);
    const isFinal = reply.word !== TrialDecision.Busy || request.waitMs <= 0;
    if (isFinal || this.waiters.length >= maxWaiting) return Promise.resolve(reply);
    return new Promise((resolve) => {
      const timer = this.options.clock.startTimer(request.waitMs, () => {
        this.waiters = this.waiters.filter((waiter) => waiter.timer !== timer);
        resolve(busy);
      });
      this.waiters.push({ request, resolve, timer });
    });
  }

  /** Takes note that a run is over, or has lasted long enough. */
  end(incarnation: string, fingerprint: string): void {
    if (this.grants.get(incarnation)?.fingerprint === fingerprint) this.release(incarnation);
  }

  close(): void {
    for (const { timer } of this.grants.values()) timer.cancel();
    for (const { timer, resolve: reply } of this.waiters.splice(0)) {
      timer.cancel();
      reply(busy);
    }
  }

  private release(incarnation: string): void {
    this.grants.get(incarnation)?.timer.cancel();
    this.grants.delete(incarnation);
    for (const waiter of [...this.waiters]) this.retry(waiter);
  }

  private retry(waiter: Waiter): void {
    const reply = this.decide(waiter.request);
    if (reply.word === TrialDecision.Busy) return;
    waiter.timer.cancel();
    this.waiters = this.waiters.filter((other) => other !== waiter);
    waiter.resolve(reply);
  }

  private decide({ service, subject, excluded }: TrialCallArguments): TrialReply {
    const { clock, records } = this.options;
    const state = records.getQuarantineState(subject);
    if (state === QuarantineState.Resting || state === QuarantineState.Convicted)
      return { word: TrialDecision.Refused };
    const endpoint = this.choose(service, excluded);
    if (!endpoint) return busy;
    const { incarnation } = endpoint;
    const timer = clock.startTimer(maxTrialMs, () => this.release(incarnation));
    this.grants.set(incarnation, { fingerprint: subject.fingerprint, timer });
    return { word: TrialDecision.Granted, life: incarnation };
  }

  /** The endpoint with the least work, as that is what ends with it. */
  private choose(service: string, excluded: readonly string[]): Endpoint | undefined {
    const time = this.options.clock.getTime();
    const usable = this.options.getEndpoints(service).filter((endpoint) => endpoint.isUsable());
    const isUnavailable = (endpoint: Endpoint): boolean =>
      isDown(endpoint, this.options.records, time) || this.grants.has(endpoint.incarnation);
    const available = usable.filter((endpoint) => !isUnavailable(endpoint));
    const unavailable = usable.length - available.length;
    if (unavailable + 1 > Math.max(1, usable.length * maxUnavailableShare)) return undefined;
    const candidates = available.filter(({ incarnation }) => !excluded.includes(incarnation));
    let best: Endpoint | undefined;
    for (const endpoint of candidates) {
      if (!best || this.getActive(endpoint) < this.getActive(best)) best = endpoint;
    }
    return best;
  }

  private getActive({ active, incarnation }: Endpoint): number {
    return active + this.options.getPeerWork(incarnation).active;
  }
}

/** Whether an endpoint serves nobody now, though its record may still say that it does. */
export function isDown(endpoint: Endpoint, records: CrashRecords, time: number): boolean {
  return endpoint.isUnreachable(time) || records.hasCrashed(endpoint.incarnation);
}
