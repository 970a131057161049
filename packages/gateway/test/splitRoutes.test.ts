/*
 * Guards against streams of a route to several services, each of one version, that go on at another service.
 */
import { createService, waitUntil } from "@gladewall/standins";
import t from "tap";
import { createStreamRoute, killAll, listVersions, VersionedFleet } from "./versionedEndpoints.js";

t.test(
  "a stream of a split route goes on at its service or nowhere after the end of all instances",
  async (t) => {
    const targets = [
      { service: "web", weight: 1 },
      { service: "canary", weight: 1 },
    ];
    const fleet = await VersionedFleet.create(t, 2, [
      { id: "a", version: "v1" },
      { id: "b", version: "v2", service: "canary" },
    ]);
    const services = ["web", "canary"].map((name) => createService({ name }));
    fleet.bench.platform.configure({ routes: [createStreamRoute({ targets })], services });
    await waitUntil(() => fleet.bench.instances.every(({ gateway }) => gateway.version === 2));
    await fleet.waitForEndpoints("canary");
    const begun = new Map<string, string>();
    for (let index = 0; index < 12; index++) {
      const { body } = await fleet.begin(0, `s${index}`, 2);
      begun.set(`s${index}`, body);
    }
    await killAll(fleet);
    await fleet.addInstance();
    let joined = 0;
    for (const [id, text] of begun) {
      const { body, status } = await fleet.takeUp(0, `${id}-2`, id, text);
      if (status === 200 && listVersions(text + body).length > 1) joined += 1;
    }
    t.equal(joined, 0, "streams of two versions");
  },
);
