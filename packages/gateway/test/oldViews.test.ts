/*
 * Guards against an instance that is cut off from the store, alone or with a part of the fleet, and takes the version it knows for the
 * only one, while the rest of the fleet begins streams at a further version.
 */
import {
  type CallerRequestHead,
  GatewayMetrics,
  type OriginAnswer,
  OriginTable,
  TakeUps,
  VersionHistory,
  VersionRecords,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import t from "tap";
import { createKnownEndpoint } from "./knownEndpoints.js";
import { createStreamRoute } from "./versionedEndpoints.js";

const retentionMs = 10_000;

async function takesUp(resumes: string | undefined, answer: Partial<OriginAnswer>): Promise<boolean> {
  const clock = VirtualClock.create();
  const getRetentionMs = (): number => retentionMs;
  const history = VersionHistory.create({ clock, getRetentionMs });
  const endpoint = createKnownEndpoint({ id: "a", softwareVersion: "v1" });
  history.addEndpoint(endpoint.record);
  const base = { clock, logger: Logger.createSilent(), history, getRetentionMs };
  const records = VersionRecords.create({
    ...base,
    eras: { current: 0 },
    isFirstStart: false,
    isListed: () => true,
  });
  const { service } = endpoint.record;
  const versions = [{ version: "v1", phase: "open", since: 1 }];
  const item = { service, serial: 1, era: 0, proven: true, versions };
  const key = `gladewall/stream-versions/${service}`;
  records.handleItem(key, { key, value: Buffer.from(JSON.stringify(item)), revision: 1 });
  const none: OriginAnswer = {
    code: undefined,
    begun: new Set(),
    hasSeveral: false,
    isVouched: true,
    isFresh: false,
    isHalf: false,
    called: 1,
    silent: 0,
    hasCalledAll: false,
  };
  const takeUps = TakeUps.create({
    ...base,
    metrics: GatewayMetrics.create("127.0.0.1:0"),
    directory: { getOfService: () => [endpoint] },
    table: OriginTable.create({ clock, getRetentionMs }),
    records,
    gossip: { callKeepers: async () => ({ ...none, ...answer }) },
    archive: { readAll: async () => false },
    isViewOld: () => true,
    getRandom: () => 0,
  });
  const head = { id: "r2", parts: [], lastEventId: "2", resumes };
  const request = { route: createStreamRoute(), workspace: "", head: head as unknown as CallerRequestHead };
  return (await takeUps.choose(request)).isOk();
}

t.test(
  "an instance whose view is old goes on with a stream if a keeper has heard lately of one version only",
  async (t) => {
    t.ok(await takesUp("r", { isFresh: true }));
    t.notOk(await takesUp("r", { isFresh: true, begun: new Set([1]) }));
  },
);

t.test("an instance whose view is old refuses a stream whose caller names no first request", async (t) => {
  t.notOk(await takesUp(undefined, {}));
});

t.test(
  "an instance whose view is old doesn't rely on a part of the keepers, which may be cut off too",
  async (t) => {
    t.notOk(await takesUp("r", {}), "one of several keepers is linked, and the archive can't be read");
  },
);
