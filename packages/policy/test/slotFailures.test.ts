import t from "tap";
import { type EndpointLoad, type SlotEnd, SlotOutcome } from "@gladewall/policy";
import { createRandom, type FakeEndpoint, slots } from "./fakeService.js";
import { type Alterations, playService, type Scores } from "./slotLoad.js";

const seed = 3;

/** Plays 162 requests/s at 3 endpoints, which leaves room for some harm but not for much. */
function playAltered(alterations: Alterations): Scores & { readonly open: number; readonly waiting: number } {
  const scores = playService(162, 3, seed, false, alterations);
  scores.scheduler.dispatch();
  return { ...scores, ...scores.scheduler.getState() };
}

function alterLoad(change: (load: EndpointLoad) => EndpointLoad | undefined): Alterations {
  return { alterEnd: (end: SlotEnd) => ({ ...end, load: end.load && change(end.load) }) };
}

t.test("an endpoint that vanishes with open grants leaves the others in service", async (t) => {
  let goneEndpoint: FakeEndpoint | undefined;
  const scores = playService(162, 4, seed, false, {
    prepare: (loop, scheduler, endpoints) => {
      goneEndpoint = endpoints[0]!;
      loop.after(20_000, () => (endpoints[0]!.isGone = true));
      // The grants are open for half a second until the directory learns of the failure.
      loop.after(20_500, () => {
        const present = endpoints.slice(1).map(({ incarnation }) => ({ incarnation, slots }));
        scheduler.setEndpoints(present);
      });
    },
  });
  t.ok(goneEndpoint?.isGone);
  t.ok(scores.total.getCredit() > 0.97, `credit ${scores.total.getCredit()}`);
  t.same(scores.scheduler.getState(), { waiting: 0, open: 0 }, "no grant of the endpoint is left");
});

t.test("lost ends cost slots only until their grants expire", async (t) => {
  const random = createRandom(5);
  const scores = playAltered({ alterEnd: (end) => (random() < 0.02 ? undefined : end) });
  t.ok(scores.total.getCredit() > 0.9, `credit ${scores.total.getCredit()}`);
  const allLost = playAltered({ durationMs: 20_000, alterEnd: () => undefined });
  t.ok(allLost.total.answered > 0);
  const { scheduler } = playService(162, 3, seed, false, { durationMs: 5_000, alterEnd: () => undefined });
  t.ok((scheduler.getNextAt() ?? 0) <= 5_000 + 2 * 2_000, "the remaining grants expire within 2 s");
});

t.test("reports that stop, are always idle, slow or absurd do little harm", async (t) => {
  const lies: Record<string, (load: EndpointLoad) => EndpointLoad | undefined> = {
    absent: () => undefined,
    "always idle": () => ({ running: 0, waiting: 0, slots, pacePercent: 100 }),
    "always slow": (load) => ({ ...load, pacePercent: 10_000 }),
    "not a number": () => ({ running: NaN, waiting: -1, slots: Infinity, pacePercent: NaN }),
    negative: (load) => ({ ...load, running: -1e9, pacePercent: -50 }),
    huge: (load) => ({ ...load, pacePercent: 1e9 }),
  };
  for (const [name, lie] of Object.entries(lies)) {
    const scores = playAltered(alterLoad(lie));
    t.ok(scores.total.getCredit() > 0.93, `${name}: credit ${scores.total.getCredit().toFixed(3)}`);
  }
  const full = playAltered(alterLoad((load) => ({ ...load, running: 1e9, waiting: 1e9 })));
  const { answered, requests } = full.total;
  t.ok(answered > requests / 2, `always full: ${answered} of ${requests} answered`);
  const one = playAltered({
    prepare: (_, scheduler, endpoints) => {
      // One endpoint of three claims to be idle and fast, so that it is preferred to the others.
      endpoints[0]!.getLoad = () => ({ running: 0, waiting: 0, slots, pacePercent: 10 });
      t.same(scheduler.getState(), { waiting: 0, open: 0 });
    },
  });
  t.ok(one.total.getCredit() > 0.95, `one false endpoint: credit ${one.total.getCredit().toFixed(3)}`);
});

t.test("callers that return at once gain nothing and do not displace the urgent rank", async (t) => {
  const direct = playService(300, 3, seed, true, { isStorm: true });
  const scheduled = playService(300, 3, seed, false, { isStorm: true });
  const urgent = scheduled.byRank.get(0)!;
  t.ok(scheduled.total.getCredit() > direct.total.getCredit());
  t.ok(urgent.inTime / urgent.requests > 0.97, `${urgent.inTime} of ${urgent.requests} in time`);
});

t.test("instances that send without a grant do not undo the gain of the others", async (t) => {
  const direct = playService(300, 3, seed, true).total.getCredit();
  const mixed = playService(300, 3, seed, false, { directPart: 0.5 }).total.getCredit();
  const alterEnd = (end: SlotEnd): SlotEnd => ({ ...end, load: undefined });
  const unseen = playService(300, 3, seed, false, { directPart: 0.5, alterEnd }).total.getCredit();
  const figures = `directly ${direct.toFixed(3)}, half ${mixed.toFixed(3)}, unseen ${unseen.toFixed(3)}`;
  t.ok(mixed > unseen && unseen > direct, figures);
});

t.test("requests sent without a grant are seen through the reported load", async (t) => {
  const { scheduler } = playService(1, 1, seed, false, { durationMs: 0 });
  const ask = (id: string) =>
    scheduler.request({
      ...{ id, requester: "i1", workspace: "a", route: "r", rank: 0, excluded: new Set<string>() },
      ...{ arrivedAt: 1_532, objectiveAt: 1_838, deadlineAt: 3_064 },
    });
  t.equal(ask("first").outcome, SlotOutcome.Granted);
  const load = { running: slots, waiting: 4, slots, pacePercent: 100 };
  scheduler.end({ id: "first", isRejected: false, tookMs: 57, load });
  t.equal(ask("second").outcome, SlotOutcome.Queued, "others have filled the endpoint");
  const nextAt = scheduler.getNextAt() ?? Infinity;
  t.ok(nextAt < 1_532 + 2 * 57, `it is looked at again at ${nextAt}, although no grant will end`);
});
