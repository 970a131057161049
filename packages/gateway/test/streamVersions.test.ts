/*
 * Guards against streams that go on at another software version of an endpoint than the one that began them.
 */
import t from "tap";
import { countEvents, eventCount, listVersions, mixed, VersionedFleet } from "./versionedEndpoints.js";

const streamCount = 24;

t.test("a stream that its endpoint breaks off goes on at the version that began it", async (t) => {
  const fleet = await VersionedFleet.create(t, 1, mixed);
  const broken = new Set<string>();
  fleet.breakOff = ({ id }) => {
    if (broken.has(id)) return undefined;
    broken.add(id);
    return 2;
  };
  for (let index = 0; index < streamCount; index++) {
    const { body } = await fleet.begin(0, `s${index}`);
    t.equal(listVersions(body).length, 1, `one version: ${listVersions(body).join()}`);
    t.equal(countEvents(body), eventCount, "it goes on to its end");
  }
});

t.test("a stream that its caller takes up elsewhere goes on at the version that began it", async (t) => {
  const fleet = await VersionedFleet.create(t, 3, mixed);
  for (let index = 0; index < streamCount; index++) {
    const id = `s${index}`;
    const { body: first } = await fleet.begin(index % 3, id, 2);
    const { body: second, status } = await fleet.takeUp((index + 1) % 3, `${id}-2`, id, first);
    t.equal(status, 200);
    t.equal(listVersions(first + second).length, 1, `one version: ${listVersions(first + second).join()}`);
    t.equal(countEvents(first + second), eventCount, "it goes on to its end");
  }
});
