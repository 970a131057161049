/*
 * Guards brittle endpoints against requests that pass by the count of places: trials of suspects, requests whose grant can't be used,
 * and arbiters of builds that do not count what engines have.
 */
import { PlacementStage, QueueStage, type RequestContext, type SlotRequestInput } from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { createService } from "@gladewall/standins";
import t from "tap";
import { createKnownEndpoint } from "./knownEndpoints.js";
import { SlotFleet } from "./slotFleet.js";

const clock = VirtualClock.create();
const service = createService({ engine: { slots: 4, tokenCapacity: 10_000 } });
const endpoints = ["a", "b", "c"].map((id) => createKnownEndpoint({ id }));
const [tried] = endpoints;

/** A request to a brittle service; each slot that it asks for is granted or not. */
function createContext(isGranted: boolean) {
  const inputs: SlotRequestInput[] = [];
  const slot = { endpoint: tried!.incarnation, end: () => undefined };
  const slots = {
    isNeeded: () => true,
    isObserved: () => false,
    acquire: (input: SlotRequestInput) => {
      inputs.push(input);
      return Promise.resolve(isGranted ? { slot } : {});
    },
  };
  const context = {
    rank: 0,
    workspace: "w",
    deadlineAt: 1_000,
    excluded: new Set<string>(),
    permitRank: 0,
    placementRequest: { service, promptTokens: 0, parts: [], excluded: new Set<string>() },
    request: {
      service,
      head: { id: "r", parts: [] },
      admitted: { route: { name: "route", latencyObjectiveMs: 100 } },
      arrivedAt: 0,
    },
    parts: {
      clock,
      slots,
      directory: { getOfService: () => endpoints, find: () => tried },
      suspects: { hasSuspects: () => false },
      brittle: { getLimit: () => 0 },
      placer: { rank: () => ["b"], choose: () => ({ endpoint: tried }) },
    },
  } as unknown as RequestContext;
  return { context, inputs };
}

t.test("the trial of a suspect needs a place at the endpoint that is reserved for it", async (t) => {
  const { context, inputs } = createContext(true);
  t.ok(await QueueStage.create(context).acquireAt(tried!));
  t.same(inputs[0]?.excluded, ["b", "c"], "no other place will do");
  t.equal(context.slot?.endpoint, tried!.incarnation);
  const refused = createContext(false);
  t.notOk(await QueueStage.create(refused.context).acquireAt(tried!));
});

t.test("a suspect that may run like other requests needs a place like them", async (t) => {
  const { context, inputs } = createContext(true);
  Object.assign(context.parts.suspects, { hasSuspects: () => true, isSuspect: () => true });
  await QueueStage.create(context).acquireSlot();
  t.equal(inputs.length, 1);
});

t.test("a request without a place is not sent to a brittle endpoint", async (t) => {
  const placement = await PlacementStage.create(createContext(true).context).choose();
  t.ok(placement.isErr());
});

t.test("the slots of engines are requested from builds that count them", async (t) => {
  for (const old of [0, 1, 2]) {
    const fleet = await SlotFleet.create({
      instances: 6,
      endpoints: 2,
      slots: 2,
      oldBuilds: [old],
      refusalLimit: 0,
      usesServiceScheduler: true,
    });
    const input = { ...fleet.createInput("r"), service, isBrittle: true };
    const answer = fleet.client.client.acquire(input, new AbortController().signal);
    await fleet.advance(20);
    const { arbiter } = await answer;
    t.ok(arbiter !== undefined && arbiter !== `i${old}`, `${arbiter} decides`);
    for (const member of fleet.members) member.arbiter.close();
  }
});
