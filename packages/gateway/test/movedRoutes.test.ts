/*
 * Guards against streams that go on at another service, of another version, once their route has moved there.
 */
import { createRoute, createService, waitUntil } from "@gladewall/standins";
import t from "tap";
import { begin, createStreamRoute, listVersions, VersionedFleet } from "./versionedEndpoints.js";

t.test("a stream goes on at its service or nowhere after its route has moved to another one", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, [
    { id: "a", version: "v1" },
    { id: "b", version: "v2", service: "next" },
  ]);
  fleet.breakOff = (call) => (call.headers["last-event-id"] === undefined ? 3 : undefined);
  const text = await begin(fleet, 0, "s");
  const services = ["web", "next"].map((name) => createService({ name }));
  const moved = createStreamRoute({ targets: [{ service: "next", weight: 1 }] });
  fleet.bench.platform.configure({ routes: [createRoute({}), moved], services });
  await waitUntil(() => fleet.bench.instances.every(({ gateway }) => gateway.version === 2));
  await fleet.waitForEndpoints("next");
  for (const instance of [0, 1]) {
    const { body, status } = await fleet.takeUp(instance, `s-${instance}`, "s", text);
    t.same(listVersions(status === 200 ? text + body : text), ["v1"], `instance ${instance}`);
  }
});
