import t from "tap";
import { CounterKind, DemandEstimator, SharedCounters } from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { createService } from "@gladewall/standins";

const windowMs = 4_000;

function createEstimator(getActive: () => number) {
  const clock = VirtualClock.create();
  const windows = {
    [CounterKind.Quota]: 8_000,
    [CounterKind.Requests]: 10_000,
    [CounterKind.Retries]: 10_000,
    [CounterKind.PromptTokens]: windowMs,
  };
  const counters = SharedCounters.create({ clock, windows });
  const demand = DemandEstimator.create({
    clock,
    counters,
    getPrefillRate: () => 50,
    isRateLearned: () => true,
    utilization: 0.4,
    minEndpointsPerHall: 1,
    windowMs,
    getActive,
  });
  return { clock, demand };
}

const service = createService({ name: "pool", engine: { slots: 16, tokenCapacity: 400_000 } });

t.test("the need is the larger of what prompt tokens and requests in progress require", async (t) => {
  let active = 0;
  const { clock, demand } = createEstimator(() => active);
  for (let second = 0; second < 10; second++) {
    demand.countPromptTokens(service, { prompt: 100_000, cached: 0 });
    demand.getNeededEndpoints(service, 4, 4);
    await clock.advance(1_000);
  }
  // The window of four seconds holds five prompts: 125 tokens per millisecond, at 20 per endpoint.
  t.equal(demand.getNeededEndpoints(service, 4, 4), 7);
  active = 96;
  t.equal(demand.getNeededEndpoints(service, 4, 4), 15);
});

t.test("a peak of the need is held for a while after it has passed", async (t) => {
  let active = 96;
  const { clock, demand } = createEstimator(() => active);
  demand.countPromptTokens(service, { prompt: 1_000, cached: 0 });
  demand.getNeededEndpoints(service, 4, 0);
  await clock.advance(9_000);
  t.equal(demand.getNeededEndpoints(service, 4, 0), 15);
  active = 0;
  await clock.advance(10_000);
  t.equal(demand.getNeededEndpoints(service, 4, 0), 15);
  await clock.advance(10_000);
  t.equal(demand.getNeededEndpoints(service, 4, 0), 4);
});

// Guards against a need that ignores cached prompts: with a data hall its caches are lost, and their prompts are prefilled again.
t.test("cached prompt tokens count by the share that is lost with a data hall", async (t) => {
  const hallPrices = new Map(["a", "b", "c", "d"].map((hall) => [hall, 1]));
  const scaling = { min: 0, max: 100, bootMs: 4_000, reclaimablePrice: 0.2, hallPrices };
  const spread = createService({ ...service, scaling });
  const { clock, demand } = createEstimator(() => 0);
  for (let second = 0; second < 10; second++) {
    demand.countPromptTokens(spread, { prompt: 200_000, cached: 160_000 });
    demand.getNeededEndpoints(spread, 4, 4);
    await clock.advance(1_000);
  }
  // 40,000 uncached tokens and a quarter of 160,000 cached ones: five prompts give 100 tokens per millisecond, at 20 per endpoint.
  t.equal(demand.getNeededEndpoints(spread, 4, 4), 5);
});

// Guards against a leader that takes the load it has not counted yet for no load, and gives up endpoints right after its start.
t.test(
  "a leader that has just started needs what is present until it has counted the load for a while",
  async (t) => {
    const { clock, demand } = createEstimator(() => 0);
    const present = 9;
    const countEndpoints = (): number => demand.getNeededEndpoints(service, 1, present);
    t.equal(countEndpoints(), present, "nothing has been counted");
    await clock.advance(60_000);
    t.equal(countEndpoints(), present, "without a request, nothing is known of the load");
    for (let time = 0; time < 8_000; time += 1_000) {
      demand.countPromptTokens(service, { prompt: 1_000, cached: 0 });
      t.equal(countEndpoints(), present, `${time} ms of load`);
      await clock.advance(1_000);
    }
    await clock.advance(20_000);
    t.ok(countEndpoints() < present, "by then the load is known");
  },
);
