/*
 * Guards brittle endpoints against two arbiters that grant the same slots: an arbiter of slots was killed, and 0.2 s after it had
 * started again all six endpoints of a service had refused a request and crashed, because it did not know of the grants that its
 * substitute had given meanwhile.
 */
import type { PeerIdentity, PeerLinks, PeerMessage } from "@gladewall/coordination";
import { createCancellation, OverloadMode, SlotArbiter, SlotReplyKind } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { ServiceSlotScheduler } from "@gladewall/policy";
import t from "tap";
import { Ok } from "ts-results-es";
import { createKnownEndpoint, soleArbiter } from "./knownEndpoints.js";

const slots = 6;
const maxQueued = 50;
const holder = { name: "i", incarnation: 1 };
/** Longer than an arbiter waits for what another one granted last. */
const handoverMs = 50;
const place = { endpoint: "e", deadlineMs: 15_000, tokens: 0 };

interface TestArbiterOptions {
  readonly name?: string;
  /** Places that the holder's requests have, whoever granted them. */
  readonly places?: readonly { readonly id: string }[];
  /** Arbiter that the holder says it heard from a moment ago. */
  readonly decider?: string;
  /** Names in the order in which callers prefer them. */
  readonly order?: readonly string[];
  /** Whether the endpoint has not reported yet what runs there. */
  readonly isUnreported?: boolean;
}

async function createArbiter(clock: VirtualClock, options: TestArbiterOptions = {}) {
  const { name = "arbiter", places = [], decider, order = [], isUnreported = false } = options;
  const endpoint = createKnownEndpoint({ id: "e", slots });
  const handlers = new Map<number, (message: PeerMessage, peer: PeerIdentity) => unknown>();
  let claims = 0;
  const reply = { incarnation: 1, slots: places.map(({ id }) => ({ id, ...place })), arbiter: decider };
  const links = {
    setHandler: (kind: number, handler: (message: PeerMessage, peer: PeerIdentity) => unknown) =>
      void handlers.set(kind, handler),
    onLinkUp: () => undefined,
    onLinkDown: () => undefined,
    getLinked: () => [holder.name],
    call: () => {
      claims += 1;
      return Promise.resolve(Ok(reply));
    },
  };
  const arbiter = SlotArbiter.create({
    ...soleArbiter,
    clock,
    logger: Logger.createSilent(),
    own: { name, incarnation: 1 },
    fleet: { links: links as Partial<PeerLinks> as PeerLinks, isCollector: true },
    directory: { getOfService: () => [endpoint] },
    overload: { mode: OverloadMode.On },
    createScheduler: () => ServiceSlotScheduler.create({ clock, maxWaiting: maxQueued, getRandom: () => 0 }),
    getRefusalLimit: () => 0,
    precedes: (_, one, other) => order.indexOf(one) < order.indexOf(other),
  });
  const announcement = { kind: 50, answersClaims: true } as PeerMessage;
  handlers.get(50)?.(announcement, holder);
  let count = 0;
  const request = () => {
    const call = { service: "web", id: `${name}-${count++}`, workspace: "", route: "r", rank: 0, ageMs: 0 };
    const times = { objectiveMs: 600, deadlineMs: 20_000 };
    return { id: call.id, reply: arbiter.request(holder, { ...call, ...times, excluded: [] }) };
  };
  const grantMany = (): string[] => {
    const requests = Array.from({ length: 2 * slots }, request);
    return requests.flatMap(({ id, reply: { word } }) => (word === SlotReplyKind.Granted ? [id] : []));
  };
  /** Reports that a request has ended, when so many ran at the endpoint. */
  const end = (id: string, running: number): void => {
    const load = { running, waiting: 0, slots, pacePercent: undefined };
    arbiter.end(holder, { service: "web", id, isCancelled: false, isRejected: false, tookMs: 50, load });
  };
  // The first request begins the term.
  const first = request();
  await clock.advance(handoverMs);
  if (isUnreported) arbiter.end(holder, createCancellation("web", first.id));
  else end(first.id, places.length);
  return { arbiter, request, grantMany, end, countClaims: () => claims };
}

t.test("arbiters that callers prefer less grant few slots", async (t) => {
  const clock = VirtualClock.create();
  const order = ["first", "second", "third"];
  for (const name of order) {
    const { arbiter, grantMany } = await createArbiter(clock, { name, order, decider: "first" });
    t.equal(grantMany().length, name === "first" ? slots : 1, name);
    arbiter.close();
  }
});

t.test("an arbiter that has just started does not grant slots that another may have granted", async (t) => {
  const clock = VirtualClock.create();
  const substitute = await createArbiter(clock, { name: "substitute" });
  const granted = substitute.grantMany();
  t.equal(granted.length, slots);
  const returned = await createArbiter(clock, { places: granted.map((id) => ({ id })) });
  t.equal(returned.grantMany().length, 0);
  substitute.arbiter.close();
  returned.arbiter.close();
});

t.test("places of long streams stay counted after a take-over until they end", async (t) => {
  const clock = VirtualClock.create();
  const places = ["a", "b", "c", "d"].map((id) => ({ id }));
  const { arbiter, grantMany, end } = await createArbiter(clock, { places, isUnreported: true });
  t.equal(grantMany().length, 0, "what else may run there is not known yet");
  await clock.advance(10_000);
  t.equal(arbiter.countWaiting(), 2 * slots - 2, "two slots are left");
  end("a", 5);
  t.equal(arbiter.countWaiting(), 2 * slots - 3);
  end("b", 5);
  t.equal(arbiter.countWaiting(), 2 * slots - 4);
  arbiter.close();
});

t.test("work that nobody has told of counts once the endpoint has reported it", async (t) => {
  const clock = VirtualClock.create();
  const { arbiter, request, end } = await createArbiter(clock, { isUnreported: true });
  const probe = request();
  t.equal(probe.reply.word, SlotReplyKind.Granted);
  t.equal(request().reply.word, SlotReplyKind.Queued, "one request shows what is there");
  end(probe.id, slots);
  t.equal(arbiter.countWaiting(), 0, "the probe itself may be among those reported");
  t.equal(request().reply.word, SlotReplyKind.Queued);
  arbiter.close();
});

t.test("an arbiter that nobody calls any more does not ask the fleet again", async (t) => {
  const clock = VirtualClock.create();
  const { arbiter, request, grantMany, end, countClaims } = await createArbiter(clock);
  const [granted] = grantMany();
  await clock.advance(19_000);
  end(granted!, 1);
  await clock.advance(60_000);
  t.equal(countClaims(), 1);
  request();
  t.equal(countClaims(), 2, "another one may have decided meanwhile");
  arbiter.close();
});
