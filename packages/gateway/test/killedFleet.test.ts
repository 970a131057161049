/*
 * Guards against streams that go on at another software version when their callers take them up: after all
 * instances were killed.
 */
import { waitUntil } from "@gladewall/standins";
import t from "tap";
import {
  begin,
  countEvents,
  eventCount,
  killAll,
  listVersions,
  mixed,
  rounds,
  single,
  VersionedFleet,
} from "./versionedEndpoints.js";

/** Returns the keys under which the store keeps where streams began. */
function getArchiveKeys(fleet: VersionedFleet): readonly string[] {
  const { entries } = fleet.bench.platform.shared;
  return [...entries.keys()].filter((key) => key.startsWith("gladewall-streams/"));
}

t.test(
  "after all instances were killed, every stream whose first event was received goes on at its version",
  async (t) => {
    const fleet = await VersionedFleet.create(t, 2, mixed);
    const begun = new Map<string, string>();
    for (let index = 0; index < rounds; index++) {
      begun.set(`s${index}`, await begin(fleet, index % 2, `s${index}`));
    }
    await killAll(fleet);
    await fleet.addInstance();
    for (const [id, text] of begun) {
      const { body, status } = await fleet.takeUp(0, `${id}-2`, id, text);
      t.equal(status, 200);
      t.equal(listVersions(text + body).length, 1, listVersions(text + body).join());
    }
  },
);

t.test("after all instances were killed, a stream that nobody knows is refused at once", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  const text = await begin(fleet, 0, "s");
  await killAll(fleet);
  for (const key of getArchiveKeys(fleet)) fleet.bench.platform.shared.remove(key);
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
  // Where it began is kept, so that it would go on if the other version had gone.
  const [version] = listVersions(text);
  for (const { id } of mixed.filter((endpoint) => endpoint.version === version))
    await fleet.removeEndpoint(id);
  await fleet.addInstance();
  t.equal((await fleet.takeUp(0, "s-2", "s", text)).status, 503);
  t.equal((await fleet.begin(0, "new")).status, 200);
});

t.test("a service with one version leaves nothing in the store but its record, written once", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, single);
  await begin(fleet, 0, "s");
  const { entries } = fleet.bench.platform.shared;
  t.same(getArchiveKeys(fleet), []);
  t.notOk([...entries.keys()].some((key) => key.startsWith("gladewall/versions/")));
  const record = entries.get("gladewall/stream-versions/web");
  t.ok(record);
  await begin(fleet, 1, "s2");
  t.equal(entries.get("gladewall/stream-versions/web")?.revision, record?.revision);
});
