import t from "tap";
import { SilentPeers } from "@gladewall/gateway";

t.test(
  "a peer that is cut off keeps its part for as long as it may serve, counted from its last report",
  async (t) => {
    const peers = SilentPeers.create(5_000, 0);
    peers.recordReport("cut", 1_000);
    t.notOk(peers.mayBeServing("cut", 1_900, true));
    t.ok(peers.mayBeServing("cut", 2_100, true), "it is linked and silent");
    peers.recordDisconnect("cut", 3_500);
    t.ok(peers.mayBeServing("cut", 6_900, false));
    t.notOk(
      peers.mayBeServing("cut", 7_000, false),
      "the time until the loss was detected does not count twice",
    );
    peers.recordReport("cut", 7_500);
    t.notOk(peers.mayBeServing("cut", 7_600, true));
  },
);

t.test("a peer whose connection was closed, or that never reported, keeps nothing", async (t) => {
  const peers = SilentPeers.create(5_000, 0);
  peers.recordReport("ended", 1_000);
  peers.recordDisconnect("ended", 1_400);
  t.notOk(peers.mayBeServing("ended", 1_500, false));
  peers.recordDisconnect("unreported", 9_000);
  t.notOk(peers.mayBeServing("unreported", 9_100, true));
});

// Guards against an instance that has just started and takes a peer it has not heard of for one that serves nothing.
t.test(
  "a listed peer without a link may be serving until the start is as long ago as a peer may serve",
  (t) => {
    const peers = SilentPeers.create(5_000, 1_000);
    t.ok(peers.mayBeServing("unheard", 1_000, false));
    t.ok(peers.mayBeServing("unheard", 6_900, false));
    t.notOk(peers.mayBeServing("unheard", 7_000, false));
    t.notOk(peers.mayBeServing("unheard", 1_100, true), "its first report is on the way");
    peers.recordReport("unheard", 1_200);
    peers.recordDisconnect("unheard", 1_300);
    t.notOk(peers.mayBeServing("unheard", 1_400, false), "it has ended");
    t.end();
  },
);

t.test(
  "the time for which a silent peer may serve follows from the operators' bound on removed keys",
  async (t) => {
    for (const revokeWithinMs of [3_000, 8_000]) {
      const peers = SilentPeers.create(revokeWithinMs, 0);
      peers.recordReport("cut", 0);
      peers.recordDisconnect("cut", 2_500);
      t.ok(peers.mayBeServing("cut", revokeWithinMs + 900, false));
      t.notOk(peers.mayBeServing("cut", revokeWithinMs + 1_000, false));
    }
  },
);
