/*
 * Guards against requests that are lost, doubled, held past their longest wait or sent for a caller that has left, while instances
 * end, freeze and lose reports in an order that nobody thought of. The slots are decided by the scheduler that the gateway uses.
 */
import t from "tap";
import { SlotResult } from "@gladewall/gateway";
import { createSpreadRandom } from "./stepClock.js";
import { objectiveMs, SlotFleet } from "./slotFleet.js";

const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];
const requestCount = 300;
const maxWaitFactor = 2;
/** A request may be sent to one more arbiter after its wait, and each message takes a few milliseconds. */
const answerSlackMs = 150;

interface Caller {
  readonly id: string;
  readonly askedAt: number;
  readonly caller: AbortController;
  leftAt: number;
}

/** What happens to the fleet, drawn for each step. */
const events: readonly ((fleet: SlotFleet, random: () => number) => void)[] = [
  (fleet) => {
    const reader = fleet.members.slice(0, 2).find(({ name }) => fleet.isLinked(name, fleet.client.name));
    if (reader) fleet.kill(reader);
  },
  (fleet, random) => {
    const reader = fleet.members[Math.floor(random() * 3)]!;
    reader.isFrozen = true;
    fleet.clock.startTimer(400 + random() * 800, () => fleet.resume(reader));
  },
  (fleet) => {
    fleet.losesEnds = !fleet.losesEnds;
  },
  (fleet, random) => fleet.reportFull(fleet.members[Math.floor(random() * fleet.members.length)]!),
];

for (const seed of seeds) {
  t.test(`requests are answered once and in time, whatever happens to arbiters, seed ${seed}`, async (t) => {
    const random = createSpreadRandom(seed);
    const fleet = await SlotFleet.create({
      instances: 12,
      endpoints: 2,
      slots: 2,
      maxWaitFactor,
      usesServiceScheduler: true,
    });
    const callers: Caller[] = [];
    const served: Promise<void>[] = [];
    const answeredAt = new Map<string, number>();
    for (let index = 0; index < requestCount; index++) {
      const member = fleet.members[3 + Math.floor(random() * 9)]!;
      const entry = {
        id: `r${index}`,
        askedAt: fleet.clock.getTime(),
        caller: new AbortController(),
        leftAt: Infinity,
      };
      callers.push(entry);
      served.push(
        fleet.serve(member, entry.id, entry.caller, () => answeredAt.set(entry.id, fleet.clock.getTime())),
      );
      if (random() < 0.05) {
        const { id } = callers[Math.floor(random() * callers.length)]!;
        const leaving = callers.find((one) => one.id === id)!;
        leaving.leftAt = Math.min(leaving.leftAt, fleet.clock.getTime());
        leaving.caller.abort();
      }
      if (random() < 0.03) events[Math.floor(random() * events.length)]!(fleet, random);
      await fleet.advance(1 + Math.floor(random() * 12));
    }
    await fleet.advance(6_000);
    await Promise.all(served);
    t.equal(fleet.answers.size, requestCount, "every request is answered");
    const ids = fleet.attempts.map(({ request }) => request);
    t.equal(new Set(ids).size, ids.length, "none is sent twice");
    const longestMs = objectiveMs * maxWaitFactor + answerSlackMs;
    for (const { id, askedAt, leftAt } of callers) {
      const tookMs = (answeredAt.get(id) ?? Infinity) - askedAt;
      if (tookMs > longestMs) t.fail(`${id} is answered after ${tookMs} ms`);
      const isSent = ids.includes(id);
      if (leftAt < (answeredAt.get(id) ?? Infinity) && isSent)
        t.fail(`${id} is sent although its caller left`);
      const isRefused = fleet.answers.get(id)?.result === SlotResult.Refused;
      if (isRefused && isSent) t.fail(`${id} is sent although it was refused`);
    }
  });
}
