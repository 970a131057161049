/*
 * Guards against streams that go on at another software version when their callers take them up: whichever instances were killed, came
 * late or knew nothing.
 */
import t from "tap";
import {
  begin,
  countEvents,
  eventCount,
  kill,
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
