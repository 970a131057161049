import t from "tap";
import { VirtualClock } from "@gladewall/kernel";
import { RetryAdvice, type SlotRequest } from "@gladewall/policy";
import { createRandom } from "./fakeService.js";

/** Requests that the service completes per millisecond. */
const ratePerMs = 0.25;

function createRequest(fields: Partial<SlotRequest> = {}): SlotRequest {
  return {
    ...{ id: "r", requester: "i", workspace: "a", route: "r", rank: 0, excluded: new Set<string>() },
    ...{ arrivedAt: 0, objectiveAt: 306, deadlineAt: 1_532, ...fields },
  };
}

t.test("the time to return covers the work ahead, spread over one more such time", async (t) => {
  const times = Array.from({ length: 200 }, (_, index) =>
    RetryAdvice.create(VirtualClock.create(), createRandom(index)).decideRetryAfterMs(
      createRequest(),
      50,
      ratePerMs,
    ),
  );
  t.ok(Math.min(...times) >= 200 && Math.max(...times) <= 400);
  t.ok(Math.max(...times) - Math.min(...times) > 150, "callers do not return together");
});

t.test("the time to return is at least 50 ms and at most a third of the remaining time", async (t) => {
  for (const ahead of [0, 1, 30, 1_000, 1e9]) {
    for (const remainingMs of [-5, 30, 200, 1_532, 60_000]) {
      for (const rate of [0, ratePerMs]) {
        const advice = RetryAdvice.create(VirtualClock.create(), createRandom(ahead + remainingMs));
        const time = advice.decideRetryAfterMs(createRequest({ deadlineAt: remainingMs }), ahead, rate);
        t.ok(
          time >= 50 && time <= Math.max(50, remainingMs / 3),
          `${ahead} ahead: ${time} of ${remainingMs}`,
        );
      }
    }
  }
});

t.test("callers that were told to return count as load, so that later ones return later", async (t) => {
  const advice = RetryAdvice.create(VirtualClock.create(), () => 0);
  const first = advice.decideRetryAfterMs(createRequest(), 25, ratePerMs);
  t.equal(first, 100);
  for (let index = 0; index < 60; index++) advice.decideRetryAfterMs(createRequest(), 25, ratePerMs);
  const last = advice.decideRetryAfterMs(createRequest(), 25, ratePerMs);
  // 25 requests and 61 returns take 344 ms.
  t.ok(last > 300 && last < 344 * 1.25, `${first}, then ${last}`);
  t.equal(advice.countReturns(0, 600), 62);
  t.equal(advice.countReturns(0, 50), 0, "none is due yet");
  t.equal(advice.countReturns(-1, 600), 0, "less urgent returns do not count");
});

t.test("a return is recognized once, at its time, by route and workspace", async (t) => {
  const clock = VirtualClock.create();
  const advice = RetryAdvice.create(clock, () => 0);
  const returnMs = advice.decideRetryAfterMs(createRequest(), 25, ratePerMs);
  t.equal(returnMs, 100);
  t.notOk(
    advice.tryTakeReturn(createRequest({ id: "at once" })),
    "a caller that ignores the time gains nothing",
  );
  await clock.advance(returnMs + 10);
  t.notOk(advice.tryTakeReturn(createRequest({ workspace: "b" })));
  t.notOk(advice.tryTakeReturn(createRequest({ route: "s" })));
  t.ok(advice.tryTakeReturn(createRequest({ id: "new id" })));
  t.notOk(advice.tryTakeReturn(createRequest({ id: "other" })));
  t.equal(advice.size, 0);
});

t.test(
  "callers that do not return are forgotten, and a storm of refusals is bounded in memory",
  async (t) => {
    const clock = VirtualClock.create();
    const advice = RetryAdvice.create(clock, createRandom(2));
    for (let index = 0; index < 12_000; index++)
      advice.decideRetryAfterMs(createRequest({ rank: index % 3, route: `r${index % 7}` }), 1, ratePerMs);
    t.equal(advice.size, 10_000);
    await clock.advance(700);
    t.equal(advice.size, 0);
    t.equal(advice.countReturns(9, 1e9), 0);
  },
);
