/*
 * Guards against state that is shared by two incarnations of an endpoint. An endpoint may start again under its id; its record's
 * `born` then differs. With state keyed by id, a leaving mark never ended, so an endpoint that left and returned was never used
 * again, and the load, prompt parts and connections of the previous incarnation were counted for the next one. Besides, a
 * malformed record of another writer, with a state of another type, counted as a leaving endpoint.
 */
import t from "tap";
import { type Endpoint, EndpointConnections, EndpointDirectory, PrefixIndex } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import {
  respondSuccess,
  GatewayTestBench,
  ScriptedEndpoint,
  FakePlatform,
  waitUntil,
} from "@gladewall/standins";

/** Creates a directory that follows a platform's records. */
function createDirectory(t: Pick<typeof import("tap").t, "teardown">) {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  const directory = EndpointDirectory.create({
    platform: platform.createAdapter(),
    clock,
    logger: Logger.createSilent(),
    getTimeSinceTrouble: () => Infinity,
    watchWaitMs: 1_000,
    unlistedMs: 1_000,
  });
  t.teardown(() => directory.close());
  directory.start();
  const find = (): Endpoint | undefined => directory.get("e");
  return { clock, platform, directory, find };
}

t.test("an endpoint that starts again under its id is used again, with a clean state", async (t) => {
  const { clock, platform, directory, find } = createDirectory(t);
  const removed: string[] = [];
  directory.onRemoved(({ incarnation }) => removed.push(incarnation));
  platform.putEndpoint({ id: "e", born: 1, address: "127.0.0.1:1" });
  await clock.advance(200);
  const former = find();
  former?.recordUnreachable(clock.getTime());
  platform.putEndpoint({ id: "e", born: 1, address: "127.0.0.1:1", isLeaving: true });
  await clock.advance(200);
  t.notOk(find()?.isUsable());
  platform.putEndpoint({ id: "e", born: 2, address: "127.0.0.1:2" });
  await clock.advance(200);
  t.ok(find()?.isUsable());
  t.notOk(find()?.isUnreachable(clock.getTime()));
  t.not(find()?.incarnation, former?.incarnation);
  t.same(removed, ["e@1"]);
  t.equal(directory.getOfService("web").length, 1);
});

t.test("a late record of an earlier incarnation does not affect the next one", async (t) => {
  const { clock, platform, find } = createDirectory(t);
  platform.putEndpoint({ id: "e", born: 2, address: "127.0.0.1:2" });
  await clock.advance(200);
  for (const born of [1, undefined]) {
    platform.putEndpoint({ id: "e", born, address: "127.0.0.1:1", isLeaving: true });
    await clock.advance(200);
    t.ok(find()?.isUsable(), `born ${born}`);
    t.equal(find()?.record.address, "127.0.0.1:2");
  }
});

t.test("connections and prompt parts belong to an incarnation", async (t) => {
  const { clock, platform, find } = createDirectory(t);
  const connections = EndpointConnections.create();
  const index = PrefixIndex.create();
  platform.putEndpoint({ id: "e", born: 1, address: "127.0.0.1:1" });
  await clock.advance(200);
  const former = find()!;
  index.mergePeer({ [former.incarnation]: ["part"] });
  t.equal(connections.get(former).port, 1);
  platform.putEndpoint({ id: "e", born: 2, address: "127.0.0.1:2" });
  await clock.advance(200);
  const next = find()!;
  t.equal(connections.get(next).port, 2);
  connections.remove(former);
  t.equal(connections.get(next).port, 2);
  index.removeEndpoint(former.incarnation);
  t.notOk(index.holds("part", next.incarnation));
  index.mergePeer({ [next.incarnation]: ["part"], [former.incarnation]: ["late"] });
  t.ok(index.holds("part", next.incarnation));
  t.notOk(index.holds("late", former.incarnation));
});

t.test("requests go to the next incarnation of an id", async (t) => {
  const bench = GatewayTestBench.create();
  bench.platform.configure({});
  const incarnations = await Promise.all([1, 2].map(() => ScriptedEndpoint.create("e", respondSuccess)));
  bench.platform.putEndpoint({ id: "e", born: 1, address: incarnations[0]!.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), ...incarnations.map((incarnation) => incarnation.close())]));
  t.equal((await bench.call(instance)).status, 200);
  bench.platform.putEndpoint({ id: "e", born: 1, address: incarnations[0]!.address, isLeaving: true });
  await waitUntil(() => instance.gateway.countEndpoints("web") === 0);
  bench.platform.putEndpoint({ id: "e", born: 2, address: incarnations[1]!.address });
  await waitUntil(() => instance.gateway.countEndpoints("web") === 1);
  t.equal((await bench.call(instance)).status, 200);
  t.same(
    incarnations.map(({ requests: calls }) => calls.length),
    [1, 1],
  );
});
