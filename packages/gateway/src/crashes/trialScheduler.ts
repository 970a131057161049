/**
 * Decides for the whole fleet at which endpoint an isolated request runs next: one that no other isolated request uses, while
 * half of the service's endpoints stay free for all other requests.
 * @module
 */
import type { Clock, Timer } from "@gladewall/kernel";
import type { CrashRecords } from "./crashRecords.js";
import type { CrashSubject } from "./crashUpdates.js";
import { getStricter, QuarantineState } from "./quarantineState.js";
import type { Endpoint, PeerWork } from "../endpoints/endpoint.js";

/** Arguments of a call for a trial: an isolated request that is waiting to run. */
export interface TrialCallArguments {
  readonly service: string;
  readonly subject: CrashSubject;
  /** Ids of the parts of its prompt that other requests may share, and of those that are why it is isolated; none if omitted. */
  readonly parts?: readonly string[];
  readonly heldParts?: readonly string[];
  /** Incarnations of endpoints that it was sent to before. */
  readonly excluded: readonly string[];
  /** Milliseconds for which it can wait for an endpoint. */
  readonly waitMs: number;
}

/** Decision on a trial. Members are written to the log. */
export enum TrialDecision {
  /** It may run at the named endpoint. */
  Granted = 1,
  /** Other trials use every suitable endpoint, or too few endpoints are left. */
  Busy = 2,
  /** It may not run now. */
  Refused = 3,
  /** The receiver lacks the state to decide. */
  Unknown = 4,
  /** It may run like others, because its parts have come back whole; only the reply to a call that names held parts. */
  Cleared = 5,
}

/** Reply to a call for a trial. */
export interface TrialReply {
  readonly word: TrialDecision;
  /** Incarnation of the endpoint, if the trial is granted. */
  readonly life?: string;
}

/** Options of the scheduler. */
export interface TrialSchedulerOptions {
  readonly clock: Clock;
  readonly records: CrashRecords;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  readonly getPeerWork: (incarnation: string) => PeerWork;
  /** Called if the end of a trial was not reported in time, as when its instance was killed. */
  readonly onExpired?: (incarnation: string, request: TrialCallArguments) => void;
}

/** A granted trial: the request, and the timer that ends it. */
interface Grant {
  readonly request: TrialCallArguments;
  readonly timer: Timer;
}

/** A request that waits until an endpoint is free. */
interface Waiter {
  readonly request: TrialCallArguments;
  readonly resolve: (reply: TrialReply) => void;
  readonly timer: Timer;
}

/** A trial whose end is not reported expires after this time; requests that crashed endpoints did so within 0.3 s. */
const maxTrialMs = 1_500;
/** Share of a service's endpoints that may be down or used by trials at the same time. */
const maxUnavailableShare = 0.5;
/** The same where only parts are tried that have run without a crash: while they are, most requests of a route may wait for them. */
const maxUnavailableShareOfKnown = 0.75;
/** Requests that may wait for an endpoint; further ones get the reply `Busy` at once. */
const maxWaiting = 256;

const busy: TrialReply = { word: TrialDecision.Busy };

/** Grants trials, and queues requests for which no endpoint is free. */
export class TrialScheduler {
  /** Granted trials by the endpoint's incarnation. */
  private readonly grants = new Map<string, Grant>();
  /** Waiting requests in order of arrival. */
  private waiters: Waiter[] = [];

  private constructor(private readonly options: TrialSchedulerOptions) {}

  static create(options: TrialSchedulerOptions): TrialScheduler {
    return new TrialScheduler(options);
  }

  /** Resolves with a grant once an endpoint is free, or with `Busy` when the request can't wait any longer. */
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

  /** Ends a trial whose run has ended or whose time has expired, and frees the endpoint. */
  end(incarnation: string, fingerprint: string): void {
    if (this.grants.get(incarnation)?.request.subject.fingerprint === fingerprint) this.release(incarnation);
  }

  /** Decides again on the requests that wait; called when something has become known about crashes. */
  review(): void {
    for (const waiter of [...this.waiters]) this.retry(waiter);
  }

  close(): void {
    for (const { timer } of this.grants.values()) timer.cancel();
    for (const { timer, resolve } of this.waiters.splice(0)) {
      timer.cancel();
      resolve(busy);
    }
  }

  private release(incarnation: string): void {
    this.grants.get(incarnation)?.timer.cancel();
    this.grants.delete(incarnation);
    this.review();
  }

  private expire(incarnation: string): void {
    const request = this.grants.get(incarnation)?.request;
    this.release(incarnation);
    if (request) this.options.onExpired?.(incarnation, request);
  }

  private retry(waiter: Waiter): void {
    const reply = this.decide(waiter.request);
    if (reply.word === TrialDecision.Busy) return;
    waiter.timer.cancel();
    this.waiters = this.waiters.filter((other) => other !== waiter);
    waiter.resolve(reply);
  }

  private decide(request: TrialCallArguments): TrialReply {
    const { clock, records } = this.options;
    const { service, subject, parts } = request;
    const judgment = parts && records.parts.judge(service, subject.workspace, parts);
    const ofRequest = records.getQuarantineState(subject);
    const state = getStricter(ofRequest, judgment?.state ?? QuarantineState.Clear);
    if (state === QuarantineState.Resting || state === QuarantineState.Convicted)
      return { word: TrialDecision.Refused };
    if (judgment && state < QuarantineState.Isolated) return { word: TrialDecision.Cleared };
    if (this.isTried(request)) return busy;
    const endpoint = this.choose(request);
    if (!endpoint) return busy;
    const { incarnation } = endpoint;
    const timer = clock.startTimer(maxTrialMs, () => this.expire(incarnation));
    this.grants.set(incarnation, { request, timer });
    return { word: TrialDecision.Granted, life: incarnation };
  }

  /** Whether another request with one of the parts for which this one is isolated is tried now. */
  private isTried({ service, heldParts = [] }: TrialCallArguments): boolean {
    return [...this.grants.values()].some(
      ({ request }) =>
        request.service === service && request.heldParts?.some((id) => heldParts.includes(id)) === true,
    );
  }

  /** Chooses the endpoint with the fewest open requests, because these are lost if it crashes. */
  private choose({ service, excluded, heldParts = [] }: TrialCallArguments): Endpoint | undefined {
    const { records } = this.options;
    const isUsual = heldParts.length > 0 && records.parts.hasRunAll(service, heldParts);
    const maxShare = isUsual ? maxUnavailableShareOfKnown : maxUnavailableShare;
    const time = this.options.clock.getTime();
    const usable = this.options.getEndpoints(service).filter((endpoint) => endpoint.isUsable());
    const isUnavailable = (endpoint: Endpoint): boolean =>
      isDown(endpoint, this.options.records, time) || this.grants.has(endpoint.incarnation);
    const available = usable.filter((endpoint) => !isUnavailable(endpoint));
    const unavailable = usable.length - available.length;
    if (unavailable + 1 > Math.max(1, usable.length * maxShare)) return undefined;
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

/** Whether an endpoint is unreachable or reported as crashed, even if its record still says that it is ready. */
export function isDown(endpoint: Endpoint, records: CrashRecords, time: number): boolean {
  return endpoint.isUnreachable(time) || records.hasCrashed(endpoint.incarnation);
}
