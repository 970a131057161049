/*
 * Guards against streams that go on at another software version when their callers take them up: whichever instances were killed, came
 * late or knew nothing.
 */
import { waitUntil } from "@gladewall/standins";
import t from "tap";
import {
  begin,
  countEvents,
  eventCount,
  kill,
  killAll,
  listVersions,
  mixed,
  rounds,
  single,
  VersionedFleet,
} from "./versionedEndpoints.js";

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
  for (let index = 0; index < rounds; index++) begun.set(`s${index}`, await begin(fleet, 1, `s${index}`));
  await kill(fleet, 1);
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

t.test("a stream is refused at once when the last endpoint of its version has left", async (t) => {
  const fleet = await VersionedFleet.create(t, 2, mixed);
  const text = await begin(fleet, 0, "s");
  const [version] = listVersions(text);
  for (const { id } of mixed.filter((endpoint) => endpoint.version === version))
    await fleet.removeEndpoint(id);
  for (const instance of [0, 1]) {
    const { status, body, headers } = await fleet.takeUp(instance, `s-${instance}`, "s", text);
    t.equal(status, 503);
    t.match(body, "software version");
    t.ok(Number(headers["retry-after"]) > 0);
  }
});

t.test(
  "a stream that is broken off after its version has left ends at once, and not as complete",
  async (t) => {
    const fleet = await VersionedFleet.create(t, 1, [mixed[0]!, mixed[2]!]);
    fleet.breakOff = () => 2;
    const { body, isComplete } = await fleet.begin(0, "s");
    t.equal(countEvents(body), 2);
    t.notOk(isComplete);
  },
);
