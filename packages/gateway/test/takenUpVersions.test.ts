/*
 * Guards against streams that go on at another software version when their callers take them up: whatever the versions and the routes are,
 * whatever the caller names, and in a large fleet.
 */
import { createRoute, createService, createWorkspace, waitUntil } from "@gladewall/standins";
import t from "tap";
import {
  begin,
  createStreamRoute,
  kill,
  listVersions,
  mixed,
  rounds,
  VersionedFleet,
} from "./versionedEndpoints.js";

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
  // The five with the greatest capacity are keepers, and are linked with all.
  const isSettled = (): boolean =>
    fleet.bench.instances.every(
      ({ gateway }, index) => gateway.fleetSize === 9 && gateway.linkedPeers >= (index < 4 ? 5 : 8),
    );
  await waitUntil(isSettled);
  const begun = new Map<string, string>();
  for (let index = 0; index < rounds; index++) begun.set(`s${index}`, await begin(fleet, 0, `s${index}`));
  for (const index of [8, 7, 6, 5, 0]) await kill(fleet, index);
  for (const [id, text] of begun) {
    const { body, status } = await fleet.takeUp(0, `${id}-2`, id, text);
    t.equal(status, 200);
    t.equal(listVersions(text + body).length, 1, listVersions(text + body).join());
  }
});
