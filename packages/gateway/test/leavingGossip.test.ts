import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import { EndpointDirectory, type FleetTopology, LeavingGossip } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { FakePlatform } from "@gladewall/standins";
import t from "tap";

type Handler = (message: PeerMessage, peer: PeerIdentity) => unknown;

/** Creates an instance's directory of one endpoint, and its links to one peer. */
async function createInstance(clock: VirtualClock, platform: FakePlatform) {
  const directory = EndpointDirectory.create({
    platform: platform.createAdapter(),
    clock,
    logger: Logger.createSilent(),
    getTimeSinceTrouble: () => Infinity,
    watchWaitMs: 600,
    unlistedMs: 400,
  });
  const handlers: Handler[] = [];
  const upListeners: ((peer: PeerIdentity) => void)[] = [];
  const sent: PeerMessage[] = [];
  const links = {
    setHandler: (_: number, handler: Handler) => void handlers.push(handler),
    onLinkUp: (listener: (peer: PeerIdentity) => void) => void upListeners.push(listener),
    send: (_: string, message: PeerMessage) => sent.push(message) > 0,
    broadcast: (message: PeerMessage) => void sent.push(message),
  };
  const fleet = { links, isMesh: true, isCollector: true, getLinkedReaders: () => [] };
  LeavingGossip.create(fleet as unknown as FleetTopology, directory);
  directory.start();
  await clock.advance(500);
  const receive = (message: PeerMessage): void =>
    handlers.forEach((handle) => handle(message, { name: "p", incarnation: 1 }));
  const linkUp = (incarnation: number): void =>
    upListeners.forEach((listener) => listener({ name: "p", incarnation }));
  return { directory, receive, linkUp, sent };
}

// Guards against an instance that starts while the store does not know yet that an endpoint is leaving: its record says ready, and
// what the endpoint announced in a response before is known to the peers only.
t.test(
  "an instance that starts again is told by its peers which endpoints have announced to leave",
  async (t) => {
    const clock = VirtualClock.create();
    const platform = FakePlatform.create(clock, 20);
    platform.putEndpoint({ id: "a", address: "127.0.0.1:1" });
    const peer = await createInstance(clock, platform);
    const endpoint = peer.directory.get("a")!;
    const notice = { isLeaving: true, holdOffMs: undefined };
    peer.directory.handleNotice(endpoint, notice, { requestId: "r", status: 200 });
    const started = await createInstance(clock, platform);
    t.ok(started.directory.get("a")?.isUsable(), "the store says that it is ready");
    peer.sent.length = 0;
    peer.linkUp(2);
    for (const message of peer.sent) started.receive(message);
    t.notOk(started.directory.get("a")?.isUsable());
    const closed = Promise.all([peer, started].map(({ directory }) => directory.close()));
    await clock.advance(20_000);
    await closed;
  },
);
