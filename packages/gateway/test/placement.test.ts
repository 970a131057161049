import t from "tap";
import {
  Backend,
  BackendState,
  CounterKind,
  Placer,
  PrefixMemory,
  RetryBudget,
  SharedCounters,
} from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { createService } from "@gladewall/standins";

const engine = createService({ name: "model", engine: { slots: 4, tokenCapacity: 100_000 } });

function createBackends(count: number): readonly Backend[] {
  return Array.from({ length: count }, (_, index) =>
    Backend.create({
      id: `b${index}`,
      service: "model",
      address: "127.0.0.1:1",
      zone: "a",
      slots: 4,
      isLeaving: false,
      isReclaimable: false,
    }),
  );
}

function createPlacer(backends: readonly Backend[], clock = VirtualClock.create()): Placer {
  return Placer.create({
    memory: PrefixMemory.create(),
    clock,
    getReadingRate: () => 50,
    getBackends: () => backends,
    getPeerWork: () => ({ active: 0, pendingTokens: 0 }),
    getRandom: () => 0,
  });
}

const request = { service: engine, promptTokens: 1_000, parts: [], excluded: new Set<string>() };

t.test("prompts go where the fewest tokens wait, and the choice agrees with trying all", async (t) => {
  const backends = createBackends(5);
  const placer = createPlacer(backends);
  for (let round = 0; round < 50; round++) {
    for (const [index, backend] of backends.entries())
      backend.pendingTokens = ((round + 3) * (index + 7) * 379) % 9_000;
    const least = Math.min(...backends.map(({ pendingTokens }) => pendingTokens));
    t.equal(placer.choose(request)?.backend.pendingTokens, least);
  }
});

t.test("prompts with the same shared part meet at one home on every node, unless it is busy", async (t) => {
  const backends = createBackends(6);
  const parts = [
    { id: "shared", tokens: 5_000 },
    { id: "own", tokens: 1_000 },
  ];
  const asked = { ...request, promptTokens: 6_000, parts };
  const homes = [createPlacer(backends), createPlacer(backends)].map(
    (placer) => placer.choose(asked)?.backend,
  );
  t.ok(homes[0]);
  t.equal(homes[0], homes[1]);
  homes[0]!.pendingTokens = 20_000;
  t.not(createPlacer(backends).choose(asked)?.backend, homes[0]);
});

t.test("backends that leave, that were tried, or that can't be reached are passed over", async (t) => {
  const clock = VirtualClock.create();
  const backends = createBackends(3);
  const placer = createPlacer(backends, clock);
  backends[0]!.state = BackendState.Leaving;
  backends[1]!.noteUnreachable(clock.getTime());
  t.equal(placer.choose(request)?.backend.id, "b2");
  t.equal(placer.choose({ ...request, excluded: new Set(["b2"]) })?.backend.id, "b1", "better than none");
  t.equal(placer.choose({ ...request, excluded: new Set(["b1", "b2"]) }), undefined);
  await clock.advance(10_000);
  backends[2]!.pendingTokens = 9_000;
  t.equal(placer.choose(request)?.backend.id, "b1");
});

t.test("a backend that fails part of its requests gets less, though it looks idle", async (t) => {
  const backends = createBackends(2);
  const placer = createPlacer(backends);
  for (let count = 0; count < 6; count++) backends[0]!.noteEnd(count % 2 === 0, 0);
  backends[1]!.active = 3;
  t.equal(placer.choose(request)?.backend.id, "b1");
});

t.test("repeats of a service never exceed the budget that all nodes share", async (t) => {
  const clock = VirtualClock.create();
  const windows = {
    [CounterKind.Quota]: 10_000,
    [CounterKind.Requests]: 10_000,
    [CounterKind.Repeats]: 10_000,
    [CounterKind.Work]: 10_000,
  };
  const counters = [SharedCounters.create({ clock, windows }), SharedCounters.create({ clock, windows })];
  const budgets = counters.map((own) =>
    RetryBudget.create({ counters: own, ratio: 0.2, slack: 10, getKnownShare: () => 1 }),
  );
  let requests = 0;
  let repeats = 0;
  for (let round = 0; round < 200; round++) {
    for (const [index, budget] of budgets.entries()) {
      budget.countRequest("s");
      requests += 1;
      if (budget.tryTake("s")) repeats += 1;
      const other = counters[1 - index]!;
      other.takeReport(`n${index}`, `n${index}/1`, counters[index]!.createReport());
    }
  }
  t.ok(repeats > 0);
  t.ok(repeats <= 0.2 * requests + 10);
});
