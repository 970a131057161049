import t from "tap";
import {
  Endpoint,
  EndpointState,
  CounterKind,
  Placer,
  PrefixIndex,
  RetryBudget,
  SharedCounters,
} from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { createService } from "@gladewall/standins";
import { createKnownEndpoint } from "./knownEndpoints.js";

const engine = createService({ name: "model", engine: { slots: 4, tokenCapacity: 100_000 } });

function createEndpoints(count: number): readonly Endpoint[] {
  return Array.from({ length: count }, (_, index) =>
    createKnownEndpoint({ id: `b${index}`, service: "model" }),
  );
}

function createPlacer(endpoints: readonly Endpoint[], clock = VirtualClock.create()): Placer {
  return Placer.create({
    memory: PrefixIndex.create(),
    clock,
    getPrefillRate: () => 50,
    getEndpoints: () => endpoints,
    getPeerWork: () => ({ active: 0, pendingTokens: 0 }),
    getRandom: () => 0,
  });
}

const request = { service: engine, promptTokens: 1_000, parts: [], excluded: new Set<string>() };

t.test(
  "prompts are placed where the fewest tokens are queued, as an exhaustive search confirms",
  async (t) => {
    const endpoints = createEndpoints(5);
    const placer = createPlacer(endpoints);
    for (let round = 0; round < 50; round++) {
      for (const [index, endpoint] of endpoints.entries())
        endpoint.pendingTokens = ((round + 3) * (index + 7) * 379) % 9_000;
      const least = Math.min(...endpoints.map(({ pendingTokens }) => pendingTokens));
      t.equal(placer.choose(request)?.endpoint.pendingTokens, least);
    }
  },
);

t.test(
  "every instance places prompts with the same shared part on the same endpoint, unless it is busy",
  async (t) => {
    const endpoints = createEndpoints(6);
    const parts = [
      { id: "shared", tokens: 5_000 },
      { id: "own", tokens: 1_000 },
    ];
    const prompt = { ...request, promptTokens: 6_000, parts };
    const choices = [createPlacer(endpoints), createPlacer(endpoints)].map(
      (placer) => placer.choose(prompt)?.endpoint,
    );
    t.ok(choices[0]);
    t.equal(choices[0], choices[1]);
    choices[0]!.pendingTokens = 20_000;
    t.not(createPlacer(endpoints).choose(prompt)?.endpoint, choices[0]);
  },
);

t.test("endpoints that are leaving, already tried or unreachable are skipped", async (t) => {
  const clock = VirtualClock.create();
  const endpoints = createEndpoints(3);
  const placer = createPlacer(endpoints, clock);
  endpoints[0]!.state = EndpointState.Leaving;
  endpoints[1]!.recordUnreachable(clock.getTime());
  t.equal(placer.choose(request)?.endpoint.id, "b2");
  t.equal(
    placer.choose({ ...request, excluded: new Set(["b2"]) })?.endpoint.id,
    "b1",
    "an unreachable endpoint is used if there is no other",
  );
  t.equal(placer.choose({ ...request, excluded: new Set(["b1", "b2"]) }), undefined);
  await clock.advance(10_000);
  endpoints[2]!.pendingTokens = 9_000;
  t.equal(placer.choose(request)?.endpoint.id, "b1");
});

t.test("an endpoint that fails some of its requests gets fewer, although it looks idle", async (t) => {
  const endpoints = createEndpoints(2);
  const placer = createPlacer(endpoints);
  for (let count = 0; count < 6; count++) endpoints[0]!.recordOutcome(count % 2 === 0, 0);
  endpoints[1]!.active = 3;
  t.equal(placer.choose(request)?.endpoint.id, "b1");
});

t.test("retries of a service never exceed the budget that all instances share", async (t) => {
  const clock = VirtualClock.create();
  const windows = {
    [CounterKind.Quota]: 10_000,
    [CounterKind.Requests]: 10_000,
    [CounterKind.Retries]: 10_000,
    [CounterKind.PromptTokens]: 10_000,
  };
  const counters = [SharedCounters.create({ clock, windows }), SharedCounters.create({ clock, windows })];
  const budgets = counters.map((budgetCounters) =>
    RetryBudget.create({ counters: budgetCounters, ratio: 0.2, slack: 10, getKnownShare: () => 1 }),
  );
  let requests = 0;
  let retries = 0;
  for (let round = 0; round < 200; round++) {
    for (const [index, budget] of budgets.entries()) {
      budget.countRequest("s");
      requests += 1;
      if (budget.tryTake("s")) retries += 1;
      const other = counters[1 - index]!;
      other.applyReport(`n${index}`, `n${index}/1`, counters[index]!.createReport());
    }
  }
  t.ok(retries > 0);
  t.ok(retries <= 0.2 * requests + 10);
});
