/*
 * Guards against a way of choosing an endpoint that does not ask whether the stream may go on there: placement, a granted slot, the
 * call for a slot, the trial of a suspect, and a peer that passes the request on.
 */
import { request as sendHttpRequest } from "node:http";
import {
  createForwardHeaders,
  type CrashDetector,
  CrashRecords,
  type Endpoint,
  EndpointDirectory,
  GatewayMetrics,
  mayServe,
  Placer,
  PlacementStage,
  PrefixIndex,
  QuarantineState,
  QueueStage,
  type RequestContext,
  type SlotRequestInput,
  SuspectGate,
  TrialDecision,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { createService, FakePlatform, PathFault } from "@gladewall/standins";
import t from "tap";
import { createKnownEndpoint } from "./knownEndpoints.js";
import { countEvents, eventCount, listVersions, mixed, VersionedFleet } from "./versionedEndpoints.js";

const origin = { service: "web", softwareVersion: "v1" };
const [same, other, unstated] = [
  { id: "same", softwareVersion: "v1" },
  { id: "other", softwareVersion: "v2" },
  { id: "unstated" },
].map(createKnownEndpoint) as [Endpoint, Endpoint, Endpoint];
const all = [other, unstated, same];
const clock = VirtualClock.create(10_000);
const service = createService({});

function createPlacer(endpoints: readonly Endpoint[]): Placer {
  return Placer.create({
    clock,
    memory: PrefixIndex.create(),
    getPrefillRate: () => 50,
    getEndpoints: () => endpoints,
    getPeerWork: () => ({ active: 0, pendingTokens: 0 }),
    getRandom: () => 0,
  });
}

/** Creates the parts of a request's context that choosing uses. */
function createContext(parts: object, fields: object = {}): RequestContext {
  const directory = {
    find: (incarnation: string) => all.find((one) => one.incarnation === incarnation),
    getOfService: () => all,
  };
  const suspects = { hasSuspects: () => false };
  const brittle = { getLimit: () => undefined };
  return {
    origin,
    excluded: new Set<string>(),
    permitRank: 0,
    permitRefusals: 0,
    placementRequest: { service, promptTokens: 0, parts: [], excluded: new Set<string>(), origin },
    request: {
      service,
      head: { id: "r", parts: [] },
      admitted: { route: { name: "route", latencyObjectiveMs: 100 } },
      arrivedAt: 0,
    },
    parts: { clock, directory, suspects, brittle, ...parts },
    ...fields,
  } as unknown as RequestContext;
}

t.test("an endpoint may serve a stream only if both its service and its version are the same", (t) => {
  t.ok(mayServe(undefined, other));
  t.ok(mayServe(origin, same));
  t.notOk(mayServe(origin, other));
  t.notOk(mayServe(origin, unstated));
  t.notOk(mayServe({ ...origin, service: "else" }, same));
  t.ok(mayServe({ service: "web", softwareVersion: undefined }, unstated), "none is stated by both");
  t.end();
});

t.test("a stream begins only at a version at which streams may begin", (t) => {
  const openVersions = {
    mayBegin: ({ softwareVersion }: { readonly softwareVersion?: string | undefined }) =>
      softwareVersion === "v2",
  };
  t.same(
    all.filter((endpoint) => mayServe(openVersions, endpoint)),
    [other],
  );
  t.end();
});

t.test("placement chooses an endpoint of the stream's version, and none if there is none", (t) => {
  const request = { service, promptTokens: 1, parts: [], excluded: new Set<string>(), origin };
  t.equal(createPlacer(all).choose(request)?.endpoint, same);
  t.equal(createPlacer([other, unstated]).choose(request), undefined);
  other.recordLoad({ running: 0, waiting: 0, slots: 4, pacePercent: 100 }, clock.getTime());
  t.equal(createPlacer(all).choose(request)?.endpoint, same, "also by the pace that endpoints report");
  t.end();
});

t.test("a slot that was granted at another version is returned", async (t) => {
  let returned = 0;
  const slot = { endpoint: other.incarnation, end: () => (returned += 1) };
  const context = createContext({ placer: createPlacer(all) }, { slot });
  const placement = (await PlacementStage.create(context).choose()).unwrap();
  t.equal(placement.endpoint, same);
  t.equal(returned, 1);
});

t.test("a slot is requested with the endpoints of other versions excluded", async (t) => {
  const inputs: SlotRequestInput[] = [];
  const slots = {
    isObserved: () => true,
    observe: (input: SlotRequestInput) => {
      inputs.push(input);
      return { end: () => undefined };
    },
  };
  await QueueStage.create(createContext({ slots })).acquireSlot();
  t.same(
    inputs.map(({ excluded }) => excluded),
    [[other.incarnation, unstated.incarnation]],
  );
});

t.test("the trial of a suspect is neither requested nor begun at another version", async (t) => {
  const records = CrashRecords.create(clock);
  const subject = { workspace: "w", fingerprint: "f" };
  for (const incarnation of ["ended1", "ended2"]) {
    const inFlight = [subject, { workspace: "w", fingerprint: "beside" }];
    records.apply({ reports: [records.createReport(incarnation, inFlight)] });
  }
  t.equal(records.getQuarantineState(subject), QuarantineState.Isolated);
  let granted = same;
  const requested: (readonly string[])[] = [];
  const gate = SuspectGate.create({
    clock,
    logger: Logger.createSilent(),
    records,
    detector: undefined as unknown as CrashDetector,
    metrics: GatewayMetrics.create("127.0.0.1:0"),
    broadcast: () => undefined,
    callArbiter: async ({ excluded }) => {
      requested.push(excluded);
      return { word: TrialDecision.Granted, life: granted.incarnation };
    },
    endTrial: () => undefined,
    getEndpoints: () => all,
    findEndpoint: (incarnation) => all.find((one) => one.incarnation === incarnation),
  });
  const suspect = { id: "r", subject, service: "web", excluded: new Set<string>(), origin, leftMs: 5_000 };
  const findTrial = async () => {
    await clock.advance(1_000);
    return gate.findTrial(suspect);
  };
  t.equal((await findTrial()).unwrap()?.endpoint, same);
  t.same(requested.pop(), [other.incarnation, unstated.incarnation]);
  granted = other;
  t.ok((await findTrial()).isErr(), "an arbiter that knows no versions grants another");
});

t.test("a record that states another version under the same id is of another process", async (t) => {
  const platform = FakePlatform.create(clock);
  platform.putEndpoint({ id: "e", address: "127.0.0.1:1", softwareVersion: "v1" });
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
  await clock.advance(3_000);
  const before = directory.get("e")!;
  platform.putEndpoint({ id: "e", address: "127.0.0.1:1", softwareVersion: "v2" });
  await clock.advance(3_000);
  t.not(directory.get("e"), before);
  t.equal(before.record.softwareVersion, "v1", "what began there keeps its version");
  t.notOk(mayServe(origin, directory.get("e")!));
});

t.test("a stream that is passed on through a peer goes on at the version that began it", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  fleet.cut(0, PathFault.Reset);
  const arrivals = new Map<string, number>();
  fleet.breakOff = ({ id }) => {
    const count = (arrivals.get(id) ?? 0) + 1;
    arrivals.set(id, count);
    return count === 1 ? 2 : undefined;
  };
  for (let index = 0; index < 24; index++) {
    const { body } = await fleet.begin(0, `s${index}`);
    t.ok(listVersions(body).length <= 1, listVersions(body).join());
    if (index > 4) t.equal(countEvents(body), eventCount, "it goes on to its end");
  }
});

t.test("a peer passes nothing on to an endpoint whose record states another version there", async (t) => {
  const fleet = await VersionedFleet.create(t, 1, [{ id: "a", version: "v1" }]);
  const { gateway, settings } = fleet.bench.instances[0]!;
  const { host, port } = new URL(`http://${gateway.forwardingAddress}`);
  const request = {
    method: "GET",
    target: "/",
    endpoint: "a",
    sender: "other",
    receiver: settings.instance.name,
    body: Buffer.alloc(0),
  };
  const send = (softwareVersion: string | undefined): Promise<unknown> => {
    const context = { workspace: "", softwareVersion };
    const headers = createForwardHeaders(settings.peers.secret, request, context);
    return new Promise((resolve) => {
      const options = { host: host.split(":")[0], port, headers: [...headers, "x-id", "r", "host", "h"] };
      sendHttpRequest(options, (response) => {
        response.resume();
        resolve(response.headers["gladewall-peer-result"]);
      }).end();
    });
  };
  t.equal(await send("v2"), "UnknownEndpoint");
  t.equal(await send("v1"), "Answered");
  t.equal(await send(undefined), "Answered", "an earlier build states none");
  t.equal(fleet.endpoints.get("a")!.requests.length, 2);
});
