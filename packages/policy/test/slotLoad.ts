/**
 * Replays load on a web service in virtual time: endpoints with slots, a queue and a changing pace, callers that retry
 * once, and a way to send (the scheduler, or directly to a random endpoint).
 * @module
 */
import { type Clock, VirtualClock } from "@gladewall/kernel";
import {
  type EndpointLoad,
  ServiceSlotScheduler,
  type SlotEnd,
  SlotOutcome,
  type SlotRequest,
  type SlotScheduler,
} from "@gladewall/policy";
import { IndexedHeap } from "../src/indexedHeap.js";

export const objectiveMs = 306;
export const deadlineMs = 1_532;
/** One way between two processes. */
const transmissionMs = 1;
const slots = 6;
const queueSize = 24;
const meanWorkMs = 57;
const workSpread = 0.5;
/** Credit of a response after its objective, and of a refused and repeated one within it. */
const lateCredit = 0.1;
const repeatedCredit = 0.55;

/** Returns pseudo-random numbers from 0 to 1, determined by the seed. */
export function createRandom(seed: number): () => number {
  let state = Math.imul(seed, 2_654_435_761) >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Virtual time that advances from one event to the next. */
export class EventLoop {
  readonly clock: Clock;
  private time = 0;
  private sequence = 0;
  private readonly events = IndexedHeap.create<{ at: number; sequence: number; run: () => void }>(
    (left, right) => left.at < right.at || (left.at === right.at && left.sequence < right.sequence),
  );

  constructor() {
    this.clock = Object.assign(Object.create(VirtualClock.create()) as Clock, { getTime: () => this.time });
  }

  after(delayMs: number, run: () => void): void {
    this.events.add({ at: this.time + Math.max(0, delayMs), sequence: this.sequence++, run });
  }

  run(until: number): void {
    for (let next = this.events.getFirst(); next && next.at <= until; next = this.events.getFirst()) {
      this.events.remove(next);
      this.time = next.at;
      next.run();
    }
    this.time = until;
  }
}

/** How an endpoint answers: it rejects, or it responds with its load. */
export type Answer = (isRejected: boolean, load: EndpointLoad) => void;

/** Endpoint with slots and a queue that rejects when it is full. Its pace jumps several times a second. */
export class FakeEndpoint {
  private running = 0;
  private readonly queue: { readonly deadlineAt: number; readonly start: () => void }[] = [];
  private pace = 1;
  /** Whether it has failed and answers nothing. */
  isGone = false;

  constructor(
    private readonly loop: EventLoop,
    readonly incarnation: string,
    private readonly random: () => number,
  ) {
    this.changePace();
  }

  offer(deadlineAt: number, answer: Answer): void {
    const start = (): void => {
      this.running += 1;
      this.loop.after(this.drawWorkMs() * this.pace, () => {
        this.running -= 1;
        this.startNext();
        if (!this.isGone) answer(false, this.getLoad());
      });
    };
    if (this.running < slots) start();
    else if (this.queue.length < queueSize) this.queue.push({ deadlineAt, start });
    else if (!this.isGone) answer(true, this.getLoad());
  }

  getLoad(): EndpointLoad {
    return { running: this.running, waiting: this.queue.length, slots, pacePercent: this.pace * 100 };
  }

  private startNext(): void {
    let next = this.queue.shift();
    while (next && next.deadlineAt <= this.loop.clock.getTime()) next = this.queue.shift();
    next?.start();
  }

  private drawWorkMs(): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return meanWorkMs * Math.exp(workSpread * normal - workSpread ** 2 / 2);
  }

  private changePace(): void {
    this.pace = this.random() < 0.15 ? 2.5 : 1;
    this.loop.after(100 + this.random() * 300, () => this.changePace());
  }
}

/** Sends a request; `finish` gets the time to return if the request was refused. */
export type Send = (request: SlotRequest, finish: (retryAfterMs?: number) => void) => void;

/** Sends each request at once to a random endpoint, with a constant time to return. */
export function createDirectSend(
  loop: EventLoop,
  endpoints: readonly FakeEndpoint[],
  random: () => number,
): Send {
  return (request, finish) => {
    const endpoint = endpoints[Math.floor(random() * endpoints.length)]!;
    loop.after(transmissionMs, () =>
      endpoint.offer(request.deadlineAt, (isRejected) =>
        loop.after(transmissionMs, () => finish(isRejected ? 300 : undefined)),
      ),
    );
  };
}

/** Sends each request when the scheduler grants it a slot. `alterEnd` may lose or change the ends that it gets. */
export function createScheduledSend(
  loop: EventLoop,
  scheduler: SlotScheduler,
  endpoints: readonly FakeEndpoint[],
  alterEnd: (end: SlotEnd) => SlotEnd | undefined = (end) => end,
): Send {
  const waiting = new Map<string, (endpoint: string) => void>();
  let wakeAt = Infinity;
  function dispatch(): void {
    const { granted, expired } = scheduler.dispatch();
    for (const { id, endpoint } of granted) waiting.get(id)?.(endpoint);
    for (const { id } of granted) waiting.delete(id);
    for (const id of expired) waiting.delete(id);
    const nextAt = scheduler.getNextAt() ?? Infinity;
    if (nextAt >= wakeAt && wakeAt > loop.clock.getTime()) return;
    wakeAt = nextAt;
    if (nextAt < Infinity) loop.after(nextAt - loop.clock.getTime(), dispatch);
  }
  return (request, finish) => {
    function sendTo(incarnation: string): void {
      const endpoint = endpoints.find((other) => other.incarnation === incarnation)!;
      const sentAt = loop.clock.getTime();
      loop.after(2 * transmissionMs, () =>
        endpoint.offer(request.deadlineAt, (isRejected, load) => {
          loop.after(transmissionMs, () => finish(isRejected ? 300 : undefined));
          loop.after(2 * transmissionMs, () => {
            const tookMs = loop.clock.getTime() - sentAt;
            const end = alterEnd({ id: request.id, isRejected, tookMs, load });
            if (end) scheduler.end(end);
            dispatch();
          });
        }),
      );
    }
    loop.after(transmissionMs, () => {
      const decision = scheduler.request(request);
      if (decision.outcome === SlotOutcome.Granted) sendTo(decision.endpoint);
      else if (decision.outcome === SlotOutcome.Queued) waiting.set(request.id, sendTo);
      else loop.after(transmissionMs, () => finish(decision.retryAfterMs));
      dispatch();
    });
  };
}

/** Load to replay. */
export interface Load {
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** Whether callers return at once instead of when they were told to. */
  readonly isStorm?: boolean;
  readonly random: () => number;
}

/** Requests of one rank or workspace, and what became of them. */
export class Score {
  requests = 0;
  inTime = 0;
  answered = 0;
  credit = 0;

  getCredit(): number {
    return this.credit / this.requests;
  }
}

/** What callers got: in total, by rank, and by workspace. */
export interface Scores {
  readonly total: Score;
  readonly byRank: ReadonlyMap<number, Score>;
  readonly byWorkspace: ReadonlyMap<string, Score>;
}

const workspaces = ["a", "b", "c", "d"];

/** Plays a load, and returns the credit of the callers. */
export function playLoad(loop: EventLoop, load: Load, send: Send): Scores {
  const total = new Score();
  const byRank = new Map([0, 1].map((rank) => [rank, new Score()]));
  const byWorkspace = new Map(workspaces.map((workspace) => [workspace, new Score()]));
  let count = 0;

  function call(
    rank: number,
    workspace: string,
    deadlineAt: number,
    scores: readonly Score[],
    firstAt?: number,
  ) {
    const arrivedAt = loop.clock.getTime();
    const objectiveAt = arrivedAt + objectiveMs;
    const request = {
      id: `r${count++}`,
      requester: `i${count % 86}`,
      route: `route${rank}`,
      ...{ rank, workspace, arrivedAt, objectiveAt, deadlineAt, excluded: new Set<string>() },
    };
    send(request, (retryAfterMs) => {
      const time = loop.clock.getTime();
      if (time >= deadlineAt) return;
      if (retryAfterMs === undefined) {
        const isEarlyRefusal = firstAt !== undefined && arrivedAt > firstAt;
        const credit = time > objectiveAt ? lateCredit : isEarlyRefusal ? repeatedCredit : 1;
        for (const score of scores) score.answered += 1;
        for (const score of scores) score.inTime += time <= objectiveAt ? 1 : 0;
        for (const score of scores) score.credit += credit;
      } else if (firstAt === undefined) {
        const waitMs = load.isStorm ? 0 : Math.min(retryAfterMs, (deadlineAt - time) / 3);
        loop.after(waitMs, () => call(rank, workspace, deadlineAt, scores, arrivedAt));
      }
    });
  }

  function arrive(): void {
    const rank = load.random() < 0.4 ? 0 : 1;
    const workspace = workspaces[Math.floor(load.random() ** 2 * workspaces.length)]!;
    const scores = [total, byRank.get(rank)!, byWorkspace.get(workspace)!];
    for (const score of scores) score.requests += 1;
    call(rank, workspace, loop.clock.getTime() + deadlineMs, scores);
    scheduleArrival();
  }

  function scheduleArrival(): void {
    const rate = (load.requestsPerSecond / 1_000) * getBurst(loop.clock.getTime());
    loop.after(-Math.log(1 - load.random()) / rate, () => {
      if (loop.clock.getTime() < load.durationMs) arrive();
    });
  }

  scheduleArrival();
  loop.run(load.durationMs + deadlineMs);
  return { total, byRank, byWorkspace };
}

/** What is altered in a replay of a service with the scheduler. */
export interface Alterations {
  readonly isStorm?: boolean;
  readonly durationMs?: number;
  readonly alterEnd?: (end: SlotEnd) => SlotEnd | undefined;
  /** Called before the load starts, for example to set a time at which an endpoint fails. */
  readonly prepare?: (loop: EventLoop, scheduler: SlotScheduler, endpoints: readonly FakeEndpoint[]) => void;
}

/** Plays a service's load with the scheduler, or sent directly if `isDirect`. */
export function playService(
  requestsPerSecond: number,
  endpointCount: number,
  seed: number,
  isDirect: boolean,
  { isStorm, durationMs = 60_000, alterEnd, prepare }: Alterations = {},
): Scores & { readonly scheduler: SlotScheduler } {
  const loop = new EventLoop();
  const endpoints = Array.from(
    { length: endpointCount },
    (_, index) => new FakeEndpoint(loop, `e${index}`, createRandom(seed * 100 + index)),
  );
  const getRandom = createRandom(seed + 70);
  const scheduler = ServiceSlotScheduler.create({ clock: loop.clock, maxWaiting: 256, getRandom });
  scheduler.setEndpoints(endpoints.map(({ incarnation }) => ({ incarnation, slots })));
  prepare?.(loop, scheduler, endpoints);
  const send = isDirect
    ? createDirectSend(loop, endpoints, getRandom)
    : createScheduledSend(loop, scheduler, endpoints, alterEnd);
  const load = { requestsPerSecond, durationMs, isStorm, random: createRandom(seed) };
  return { ...playLoad(loop, load, send), scheduler };
}

/** Bursts of 1.7 times the load for 3 s and of 1.4 times for 10 s, each once a minute. */
function getBurst(time: number): number {
  const second = (time / 1_000) % 60;
  if (second >= 10 && second < 13) return 1.7;
  return second >= 30 && second < 40 ? 1.4 : 1;
}
