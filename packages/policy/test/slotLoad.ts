/**
 * Replays the load of a web service with callers of two ranks and four workspaces that retry once, and counts their
 * credit: 1 for a response within the objective, less for a late one or for one after a refusal.
 * @module
 */
import { ServiceSlotScheduler, type SlotEnd, type SlotScheduler } from "@gladewall/policy";
import {
  createDirectSend,
  createRandom,
  createScheduledSend,
  EventLoop,
  FakeEndpoint,
  type Send,
  slots,
} from "./fakeService.js";

const objectiveMs = 306;
const deadlineMs = 1_532;
/** Credit of a response after its objective, and of a refused and repeated one within it. */
const lateCredit = 0.1;
const repeatedCredit = 0.55;

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
  /** Part of the requests that are sent directly, as by instances of an earlier build. */
  readonly directPart?: number;
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
  { isStorm, durationMs = 60_000, directPart = isDirect ? 1 : 0, alterEnd, prepare }: Alterations = {},
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
  const sendDirectly = createDirectSend(loop, endpoints, getRandom);
  const sendScheduled = createScheduledSend(loop, scheduler, endpoints, alterEnd);
  const drawWay = createRandom(seed + 90);
  const send: Send = (request, finish) =>
    (drawWay() < directPart ? sendDirectly : sendScheduled)(request, finish);
  const load = { requestsPerSecond, durationMs, isStorm, random: createRandom(seed) };
  return { ...playLoad(loop, load, send), scheduler };
}

/** Bursts of 1.7 times the load for 3 s and of 1.4 times for 10 s, each once a minute. */
function getBurst(time: number): number {
  const second = (time / 1_000) % 60;
  if (second >= 10 && second < 13) return 1.7;
  return second >= 30 && second < 40 ? 1.4 : 1;
}
