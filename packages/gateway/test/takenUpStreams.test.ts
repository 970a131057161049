/*
 * Guards against streams that go on at another software version when their callers take them up: whichever instances were killed, came
 * late or knew nothing, and however the versions changed meanwhile.
 */
import { createRoute, createService, createWorkspace, waitUntil } from "@gladewall/standins";
import t from "tap";
import {
  countEvents,
  createStreamRoute,
  eventCount,
  listVersions,
  VersionedFleet,
} from "./versionedEndpoints.js";

const mixed = [
  { id: "a", version: "v1" },
  { id: "b", version: "v1" },
  { id: "c", version: "v1.1" },
  { id: "d", version: "v1.1" },
];
const single = mixed.slice(0, 2);
const rounds = 8;

/** Begins a stream at an instance whose caller leaves after two events. */
async function begin(fleet: VersionedFleet, instance: number, id: string, key?: string): Promise<string> {
  const { body } = await fleet.begin(instance, id, 2, key);
  return body;
}

/** Ends an instance without a word to anybody, as a killed process ends. */
async function kill(fleet: VersionedFleet, index: number): Promise<void> {
  const [{ gateway }] = fleet.bench.instances.splice(index, 1) as [(typeof fleet.bench.instances)[0]];
  await gateway.close();
}

async function killAll(fleet: VersionedFleet): Promise<void> {
  await Promise.all(fleet.bench.instances.splice(0).map(({ gateway }) => gateway.close()));
}

t.test("a stream whose instance was killed goes on, and once more after its keeper was killed", async (t) => {
  const fleet = await VersionedFleet.create(t, 4, mixed);
  const begun = new Map<string, string>();
  for (let index = 0; index < rounds; index++) begun.set(`s${index}`, await begin(fleet, 0, `s${index}`));
  await kill(fleet, 0);
  fleet.breakOff = () => 1;
  for (const [id, text] of begun) {
    const { body } = await fleet.takeUp(0, `${id}-2`, id, text);
    begun.set(id, text + body);
    t.equal(listVersions(text + body).length, 1, `second attempt: ${listVersions(text + body).join()}`);
  }
  await kill(fleet, 0);
  fleet.breakOff = () => undefined;
  for (const [id, text] of begun) {
    if (countEvents(text) === eventCount) continue;
    const { body, status } = await fleet.takeUp(0, `${id}-3`, id, text);
    t.equal(status, 200);
    t.equal(listVersions(text + body).length, 1, `third attempt: ${listVersions(text + body).join()}`);
    t.equal(countEvents(text + body), eventCount);
  }
});

t.test("an instance that started after a stream began learns from its peers where it goes on", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  const begun = new Map<string, string>();
  for (let index = 0; index < rounds; index++) begun.set(`s${index}`, await begin(fleet, 0, `s${index}`));
  await kill(fleet, 0);
  await fleet.bench.startReady(4);
  for (const [id, text] of begun) {
    const { body, status } = await fleet.takeUp(1, `${id}-2`, id, text);
    t.equal(status, 200);
    t.equal(listVersions(text + body).length, 1, listVersions(text + body).join());
  }
});

t.test("a stream that began while one version served goes on there once another serves too", async (t) => {
  const fleet = await VersionedFleet.create(t, 3, single);
  const begun = new Map<string, string>();
  for (let index = 0; index < rounds; index++) begun.set(`s${index}`, await begin(fleet, 0, `s${index}`));
  for (const endpoint of mixed.slice(2)) await fleet.addEndpoint(endpoint);
  await fleet.waitForEndpoints();
  await kill(fleet, 0);
  for (const [id, text] of begun) {
    const { body, status } = await fleet.takeUp(0, `${id}-2`, id, text);
    t.equal(status, 200);
    t.same(listVersions(text + body), ["v1"]);
  }
});

t.test("after all instances were killed, a stream of one of several versions is refused at once", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  const text = await begin(fleet, 0, "s");
  await killAll(fleet);
  await fleet.addInstance();
  const { status, headers } = await fleet.takeUp(0, "s-2", "s", text);
  t.equal(status, 503);
  t.ok(Number(headers["retry-after"]) > 0);
  t.equal((await fleet.begin(0, "new")).status, 200, "new streams begin");
});

t.test("after all instances were killed, a stream goes on if only one version serves", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, single);
  const text = await begin(fleet, 0, "s");
  await killAll(fleet);
  await fleet.addInstance();
  const { body, status } = await fleet.takeUp(0, "s-2", "s", text);
  t.equal(status, 200);
  t.equal(countEvents(text + body), eventCount);
});

t.test("an instance that starts after a version is gone knows of it", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  const text = await begin(fleet, 0, "s");
  const isKept = (): boolean => fleet.bench.platform.shared.entries.has("gladewall/versions/web");
  await waitUntil(isKept);
  await killAll(fleet);
  for (const id of ["a", "b"]) await fleet.removeEndpoint(id);
  await fleet.addInstance();
  t.equal((await fleet.takeUp(0, "s-2", "s", text)).status, 503);
  t.equal((await fleet.begin(0, "new")).status, 200);
});

t.test("a service with one version leaves nothing in the store", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, single);
  await begin(fleet, 0, "s");
  const keys = [...fleet.bench.platform.shared.entries.keys()];
  t.notOk(keys.some((key) => key.startsWith("gladewall/versions/")), keys.join());
});

t.test("a stream is refused at once when the last endpoint of its version has left", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  const text = await begin(fleet, 0, "s");
  const [version] = listVersions(text);
  for (const { id } of mixed.filter((endpoint) => endpoint.version === version)) await fleet.removeEndpoint(id);
  for (const instance of [0, 1]) {
    const { status, body, headers } = await fleet.takeUp(instance, `s-${instance}`, "s", text);
    t.equal(status, 503);
    t.match(body, "software version");
    t.ok(Number(headers["retry-after"]) > 0);
  }
});

t.test("a stream that is broken off after its version has left ends at once, and not as complete", async (t) => {
  const fleet = await VersionedFleet.create(t, 1, [mixed[0]!, mixed[2]!]);
  fleet.breakOff = () => 2;
  const { body, isComplete } = await fleet.begin(0, "s");
  t.equal(countEvents(body), 2);
  t.notOk(isComplete);
});

t.test("versions that are not stated, and a third one, are told apart", async (t) => {
  const endpoints = [undefined, "v1", "v2"].flatMap((version, index) => [
    { id: `a${index}`, version },
    { id: `b${index}`, version },
  ]);
  const fleet = await VersionedFleet.create(t, 2, endpoints);
  for (let index = 0; index < 3 * rounds; index++) {
    const text = await begin(fleet, 0, `s${index}`);
    const { body, status } = await fleet.takeUp(1, `s${index}-2`, `s${index}`, text);
    t.equal(status, 200);
    t.equal(listVersions(text + body).length, 1, listVersions(text + body).join());
  }
});

t.test("a caller that doesn't name the stream's beginning is refused if it may differ", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  const text = await begin(fleet, 0, "s");
  t.equal((await fleet.takeUp(1, "s-2", undefined, text)).status, 503);
  t.equal((await fleet.takeUp(1, "s-3", "another", text)).status, 503);
  t.equal((await fleet.takeUp(1, "s-4", "x".repeat(12_000), text)).status, 503);
  t.equal((await fleet.takeUp(1, "s-5", "s", text)).status, 200);
});

t.test("a workspace neither learns nor steers anything by naming another one's request", async (t) => {
  const workspaces = ["one", "two"].map((name) => createWorkspace({ name, keys: [name] }));
  const fleet = await VersionedFleet.create(t, 2, mixed);
  fleet.bench.platform.configure({ routes: [createRoute({}), createStreamRoute()], workspaces });
  await waitUntil(() => fleet.bench.instances.every(({ gateway }) => gateway.version === 2));
  const text = await begin(fleet, 0, "s", "one");
  t.equal((await fleet.takeUp(1, "s-2", "s", text, "two")).status, 503);
  const { body, status } = await fleet.takeUp(1, "s-3", "s", text, "one");
  t.equal(status, 200);
  t.equal(listVersions(text + body).length, 1);
});

t.test("a stream of a route with a split goes on at the service that began it", async (t) => {
  const services = ["web", "canary"].map((name) => createService({ name }));
  const targets = services.map(({ name: service }) => ({ service, weight: 1 }));
  const fleet = await VersionedFleet.create(t, 1, [
    { id: "a", version: "web" },
    { id: "b", version: "canary", service: "canary" },
  ]);
  fleet.bench.platform.configure({ routes: [createStreamRoute({ targets })], services });
  await waitUntil(() => fleet.bench.instances[0]!.gateway.version === 2);
  await fleet.waitForEndpoints("canary");
  for (let index = 0; index < 3 * rounds; index++) {
    const text = await begin(fleet, 0, `s${index}`);
    const { body } = await fleet.takeUp(0, `s${index}-2`, `s${index}`, text);
    t.equal(listVersions(text + body).length, 1, listVersions(text + body).join());
  }
});

t.test("a stream whose route has moved to another service with several versions is refused", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, [...mixed, { id: "e", version: "v1", service: "next" }]);
  const text = await begin(fleet, 0, "s");
  const services = ["web", "next"].map((name) => createService({ name }));
  const moved = createStreamRoute({ targets: [{ service: "next", weight: 1 }] });
  fleet.bench.platform.configure({ routes: [moved], services });
  await waitUntil(() => fleet.bench.instances.every(({ gateway }) => gateway.version === 2));
  await fleet.addEndpoint({ id: "f", version: "v2", service: "next" });
  await fleet.waitForEndpoints("next");
  t.equal((await fleet.takeUp(1, "s-2", "s", text)).status, 503);
});

t.test("a stream may be taken up while its first response still runs", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  for (let index = 0; index < rounds; index++) {
    const id = `s${index}`;
    const first = fleet.begin(0, id);
    await waitUntil(() => [...fleet.endpoints.values()].some(({ requests }) => requests.at(-1)?.id === id));
    const second = await fleet.takeUp(1, `${id}-2`, id, "\n\n");
    t.equal(second.status, 200);
    t.equal(listVersions((await first).body + second.body).length, 1);
  }
});

t.test("in a large fleet keepers know after the instance and other keepers were killed", async (t) => {
  const settings = ["peers.largest_mesh=2", "peers.large_fleet_interval=100ms"];
  const fleet = await VersionedFleet.create(t, 0, mixed);
  for (let index = 0; index < 9; index++)
    await fleet.bench.startReady(4, "web", ["retries.slack=1000", ...settings, `peers.capacity=${index}`]);
  // The five with the greatest capacity are keepers.
  await waitUntil(() => fleet.bench.instances.every(({ gateway }) => gateway.linkedPeers >= 4));
  const begun = new Map<string, string>();
  for (let index = 0; index < rounds; index++) begun.set(`s${index}`, await begin(fleet, 0, `s${index}`));
  for (const index of [8, 7, 6, 5, 0]) await kill(fleet, index);
  for (const [id, text] of begun) {
    const { body, status } = await fleet.takeUp(0, `${id}-2`, id, text);
    t.equal(status, 200);
    t.equal(listVersions(text + body).length, 1, listVersions(text + body).join());
  }
});

