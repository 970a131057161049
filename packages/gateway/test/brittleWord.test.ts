/*
 * Guards brittle endpoints against instances that do not know of them: one that had sent nothing for a while forgot it, one that was
 * started when all others were gone had never heard of it, and during a roll-out the word ended with the first response without it.
 */
import type { PeerIdentity, PeerLinks, PeerMessage } from "@gladewall/coordination";
import { BrittleItems, BrittleServices } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import t from "tap";
import { Ok } from "ts-results-es";
import { createKnownEndpoint } from "./knownEndpoints.js";

const key = "gladewall/brittle/web";

function createInstance(clock: VirtualClock) {
  const endpoints = ["a", "b"].map((id) => createKnownEndpoint({ id }));
  const sent: PeerMessage[] = [];
  let handler: ((message: PeerMessage, peer: PeerIdentity) => unknown) | undefined;
  const links = {
    setHandler: (_: number, handle: typeof handler) => {
      handler = handle;
    },
    onLinkUp: () => undefined,
    broadcast: (message: PeerMessage) => void sent.push(message),
    send: (_: string, message: PeerMessage) => {
      sent.push(message);
      return true;
    },
  };
  const logger = Logger.createSilent();
  const services = BrittleServices.create({
    clock,
    logger,
    fleet: {
      links: links as Partial<PeerLinks> as PeerLinks,
      isCollector: true,
      isMesh: true,
      getLinkedReaders: () => [],
    },
    holdOff: () => undefined,
    findEndpoint: (incarnation) => endpoints.find((one) => one.incarnation === incarnation),
  });
  const writes: { put: readonly { readonly value: Uint8Array }[]; remove: readonly string[] }[] = [];
  const items = BrittleItems.create({
    store: {
      transact: (change) => {
        writes.push(change);
        return Promise.resolve(Ok({ revision: 1 } as never));
      },
    },
    clock,
    logger,
    services,
    isWriter: () => true,
  });
  const receive = (message: PeerMessage): void => void handler?.(message, { name: "peer", incarnation: 1 });
  return { services, items, endpoints, sent, writes, receive };
}

t.test("an instance that sends nothing to a brittle service does not forget it", async (t) => {
  const clock = VirtualClock.create();
  const { services, endpoints } = createInstance(clock);
  services.recordResponse(endpoints[0]!, 0, 0);
  await clock.advance(60_000);
  t.equal(services.getLimit("web"), 0);
});

t.test("an instance that starts when all others are gone reads from the store what is brittle", async (t) => {
  const clock = VirtualClock.create();
  const former = createInstance(clock);
  former.services.recordResponse(former.endpoints[0]!, 5, 0);
  former.items.reconcile();
  await clock.advance(1);
  former.items.reconcile();
  t.equal(former.writes.length, 1, "written once");
  const { value } = former.writes[0]!.put[0]!;
  const { services, items, writes } = createInstance(clock);
  items.handleItem(key, { key, value, revision: 1 });
  t.equal(services.getLimit("web"), 5);
  items.reconcile();
  t.same(writes, [], "it is there already");
});

t.test("the item is removed with the end, and one that cannot be read is left aside", async (t) => {
  const clock = VirtualClock.create();
  const { services, items, endpoints, writes } = createInstance(clock);
  items.handleItem(key, { key, value: Buffer.from("{}"), revision: 1 });
  t.equal(services.getLimit("web"), undefined);
  services.recordResponse(endpoints[0]!, 0, 0);
  items.reconcile();
  await clock.advance(5_000);
  services.recordResponse(endpoints[0]!, undefined, clock.getTime());
  t.equal(services.getLimit("web"), undefined);
  items.reconcile();
  t.same(writes.at(-1)?.remove, [key]);
});

t.test("the word stands while any endpoint still announces it, and ends when none does", async (t) => {
  const clock = VirtualClock.create();
  const { services, endpoints, sent, receive } = createInstance(clock);
  const [old, fresh] = endpoints;
  services.recordResponse(old!, 1, 0);
  await clock.advance(1_000);
  services.recordResponse(fresh!, undefined, clock.getTime());
  t.equal(services.getLimit("web"), 1, "the other one does not announce it, as during a roll-out");
  receive({ kind: 52, services: [{ service: "web", ageMs: 0 }] } as PeerMessage);
  t.equal(services.getLimit("web"), 1);
  t.match(sent.at(-1), { services: [{ service: "web", limit: 1 }] }, "the peer is told better");
  await clock.advance(3_001);
  services.recordResponse(fresh!, undefined, clock.getTime());
  t.equal(services.getLimit("web"), undefined);
});
