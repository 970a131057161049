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
  readonly getPeerWork: (life: string) => PeerWork;
}

interface Grant {
  readonly fingerprint: string;
  readonly timer: Timer;
}

interface Waiter {
  readonly question: TrialCallArguments;
  readonly answer: (answer: TrialReply) => void;
  readonly timer: Timer;
}

/** A grant whose end nobody tells is over after this long; a request that ended endpoints did so within 0.3 s. */
const grantMs = 1_500;
/** Part of a service that may be ended or under trial at the same time. */
const spentShare = 0.5;
/** Requests that wait for an endpoint; more are told at once that none is free. */
const mostWaiting = 256;

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
  decideOrWait(question: TrialCallArguments): Promise<TrialReply> {
    const answer = this.decide(question);
    const isFinal = answer.word !== TrialDecision.Busy || question.waitMs <= 0;
    if (isFinal || this.waiters.length >= mostWaiting) return Promise.resolve(answer);
    return new Promise((resolve) => {
      const timer = this.options.clock.startTimer(question.waitMs, () => {
        this.waiters = this.waiters.filter((waiter) => waiter.timer !== timer);
        resolve(busy);
      });
      this.waiters.push({ question, answer: resolve, timer });
    });
  }

  /** Takes note that a run is over, or has lasted long enough. */
  end(life: string, fingerprint: string): void {
    if (this.grants.get(life)?.fingerprint === fingerprint) this.release(life);
  }

  close(): void {
    for (const { timer } of this.grants.values()) timer.cancel();
    for (const { timer, answer } of this.waiters.splice(0)) {
      timer.cancel();
      answer(busy);
    }
  }

  private release(life: string): void {
    this.grants.get(life)?.timer.cancel();
    this.grants.delete(life);
    for (const waiter of [...this.waiters]) this.retry(waiter);
  }

  private retry(waiter: Waiter): void {
    const answer = this.decide(waiter.question);
    if (answer.word === TrialDecision.Busy) return;
    waiter.timer.cancel();
    this.waiters = this.waiters.filter((other) => other !== waiter);
    waiter.answer(answer);
  }

  private decide({ service, subject, excluded }: TrialCallArguments): TrialReply {
    const { clock, records } = this.options;
    const verdict = records.getQuarantineState(subject);
    if (verdict === QuarantineState.Resting || verdict === QuarantineState.Convicted)
      return { word: TrialDecision.Refused };
    const endpoint = this.choose(service, excluded);
    if (!endpoint) return busy;
    const { incarnation: life } = endpoint;
    const timer = clock.startTimer(grantMs, () => this.release(life));
    this.grants.set(life, { fingerprint: subject.fingerprint, timer });
    return { word: TrialDecision.Granted, life };
  }

  /** The endpoint with the least work, as that is what ends with it. */
  private choose(service: string, excluded: readonly string[]): Endpoint | undefined {
    const time = this.options.clock.getTime();
    const usable = this.options.getEndpoints(service).filter((endpoint) => endpoint.isUsable());
    const isSpent = (endpoint: Endpoint): boolean =>
      isDown(endpoint, this.options.records, time) || this.grants.has(endpoint.incarnation);
    const left = usable.filter((endpoint) => !isSpent(endpoint));
    const spent = usable.length - left.length;
    if (spent + 1 > Math.max(1, usable.length * spentShare)) return undefined;
    const free = left.filter(({ incarnation: life }) => !excluded.includes(life));
    let best: Endpoint | undefined;
    for (const endpoint of free) {
      if (!best || this.getActive(endpoint) < this.getActive(best)) best = endpoint;
    }
    return best;
  }

  private getActive({ active, incarnation: life }: Endpoint): number {
    return active + this.options.getPeerWork(life).active;
  }
}

/** Whether an endpoint serves nobody now, though its record may still say that it does. */
export function isDown(endpoint: Endpoint, records: CrashRecords, time: number): boolean {
  return endpoint.isUnreachable(time) || records.hasCrashed(endpoint.incarnation);
}
