import t from "tap";
import {
  DemandEstimator,
  CounterKind,
  Placer,
  PrefixIndex,
  PrefillRates,
  SharedCounters,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { createService } from "@gladewall/standins";
import { createKnownEndpoint } from "./knownEndpoints.js";

const service = createService({ name: "model", engine: { slots: 24, tokenCapacity: 700_000 } });

function createRates(clock = VirtualClock.create()): PrefillRates {
  return PrefillRates.create({ clock, logger: Logger.createSilent(), initialRate: 50 });
}

/** Records first events of an engine with a prefill rate: prompts of 100 to 12,000 tokens. */
function recordObservations(rates: PrefillRates, rate: number, count = 200): void {
  for (let index = 0; index < count; index++) {
    const tokens = 100 + ((index * 7_919) % 11_900);
    rates.note(service.name, { tokens, elapsedMs: 34 + tokens / rate + (index % 7) });
  }
}

t.test("rates of 30, 64 and 157 tokens a millisecond are learned to within a tenth", async (t) => {
  for (const rate of [30, 64, 157]) {
    const rates = createRates();
    t.equal(rates.get("model"), 50, "the setting applies until then");
    recordObservations(rates, rate);
    t.ok(Math.abs(rates.get("model") - rate) < rate / 10, String(rates.get("model")));
    t.equal(rates.get("other"), 50);
  }
});

t.test(
  "an instance that has just started uses its peers' rates, and one outlier has no effect",
  async (t) => {
    const clock = VirtualClock.create();
    const rates = createRates(clock);
    rates.mergePeer("one", { model: 150 });
    rates.mergePeer("two", { model: 160 });
    rates.mergePeer("three", { model: 4 });
    t.equal(rates.get("model"), 150);
    t.same(rates.createReport(), {}, "peers' rates are not reported back");
    t.same(rates.createView(), { model: 150 });
    await clock.advance(31_000);
    t.equal(rates.get("model"), 50, "rates that no peer reports any more are forgotten");
  },
);

t.test("the number of needed endpoints and expected times follow the learned rate", async (t) => {
  const clock = VirtualClock.create();
  const rates = createRates(clock);
  const getPrefillRate = (name: string): number => rates.get(name);
  const windows = {
    [CounterKind.Quota]: 8_000,
    [CounterKind.Requests]: 10_000,
    [CounterKind.Retries]: 10_000,
    [CounterKind.PromptTokens]: 4_000,
  };
  const demand = DemandEstimator.create({
    clock,
    counters: SharedCounters.create({ clock, windows }),
    getPrefillRate,
    isRateLearned: (name) => rates.isLearned(name),
    utilization: 0.4,
    minEndpointsPerHall: 1,
    windowMs: 4_000,
    getActive: () => 0,
  });
  const placer = Placer.create({
    memory: PrefixIndex.create(),
    clock,
    getPrefillRate,
    getEndpoints: () => [createKnownEndpoint({ id: "b0", service: "model", slots: 24 })],
    getPeerWork: () => ({ active: 0, pendingTokens: 0 }),
    getRandom: () => 0,
  });
  const request = { service, promptTokens: 12_000, parts: [], excluded: new Set<string>() };
  demand.countPromptTokens(service, { prompt: 1_600_000, cached: 0 });
  t.equal(demand.getNeededEndpoints(service, 4, 9), 9, "an assumed rate orders no endpoints");
  t.equal(placer.choose(request)?.expectedMs, 240);
  recordObservations(rates, 157);
  await clock.advance(20_000);
  demand.countPromptTokens(service, { prompt: 1_600_000, cached: 0 });
  t.equal(demand.getNeededEndpoints(service, 4, 0), 7);
  t.ok((placer.choose(request)?.expectedMs ?? 0) < 90);
});
