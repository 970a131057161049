/*
 * Guards against streams that begin at a version which the store does not know, and against an instance that takes what it has not seen
 * for what has not been.
 */
import {
  createKnownRecord,
  type RecordBench,
  recordKey,
  createRecordBench,
  retentionMs,
} from "./recordBench.js";
import t from "tap";

const settlingMs = 1_500;
const returnMs = 3_000;

/** Creates a bench of which two versions are open. */
async function createMixedBench(): Promise<RecordBench> {
  const bench = createRecordBench({ isFirstStart: true });
  bench.addEndpoint("v1");
  await bench.settle();
  bench.addEndpoint("v2");
  await bench.advance(2 * settlingMs);
  return bench;
}

t.test("the first version of a service opens at once, with one write", async (t) => {
  const bench = createRecordBench({ isFirstStart: true });
  bench.addEndpoint("v1");
  await bench.settle();
  t.equal(bench.describe(), "v1:open");
  await bench.advance(3 * retentionMs);
  t.equal(bench.writes, 1);
  t.ok(bench.records.isProven("web"));
});

t.test("a further version joins, and opens only once all instances have confirmed it", async (t) => {
  const bench = createRecordBench({ isFirstStart: true });
  bench.addEndpoint("v1");
  await bench.settle();
  await bench.advance(returnMs);
  bench.addEndpoint("v2");
  await bench.settle();
  t.equal(bench.describe(), "v1:open,v2:joining");
  t.notOk(bench.mayBegin("v2"));
  t.same(bench.listBegun(), ["v1"], "no stream can have begun at it");
  bench.isConfirmed = true;
  await bench.advance(200);
  t.equal(bench.describe(), "v1:open,v2:open");
  t.same(bench.listBegun(), ["v1", "v2"]);
});

t.test("a further version opens without confirmation after the time in which all read of it", async (t) => {
  const bench = createRecordBench({ isFirstStart: true });
  bench.addEndpoint("v1");
  await bench.settle();
  await bench.advance(returnMs);
  bench.addEndpoint("v2");
  await bench.advance(settlingMs - 200);
  t.equal(bench.describe(), "v1:open,v2:joining");
  await bench.advance(400);
  t.equal(bench.describe(), "v1:open,v2:open");
});

t.test("after a start no further version opens while callers of the one that serves come back", async (t) => {
  const bench = createRecordBench({ isFirstStart: false });
  bench.isConfirmed = true;
  bench.put(createKnownRecord({ proven: true, versions: ["v1"] }));
  bench.addEndpoint("v1");
  bench.addEndpoint("v2");
  await bench.advance(returnMs - 200);
  t.equal(bench.describe(), "v1:open,v2:joining");
  await bench.advance(400);
  t.equal(bench.describe(), "v1:open,v2:open");
});

t.test("after a start another version opens at once if the one that served has gone", async (t) => {
  const bench = createRecordBench({ isFirstStart: false });
  bench.isConfirmed = true;
  bench.put(createKnownRecord({ proven: true, versions: ["v1"] }));
  bench.addEndpoint("v2");
  await bench.settle();
  t.equal(bench.describe(), "v1:open,v2:open");
});

t.test("no stream begins at a version that the store could not record", async (t) => {
  const bench = createRecordBench({ isFirstStart: true });
  bench.addEndpoint("v1");
  await bench.settle();
  bench.isStoreDark = true;
  bench.addEndpoint("v2");
  await bench.advance(10_000);
  t.ok(bench.mayBegin("v1"));
  t.notOk(bench.mayBegin("v2"));
  bench.isStoreDark = false;
  await bench.advance(2 * settlingMs);
  t.ok(bench.mayBegin("v2"));
});

t.test("a version that has gone is removed after the time in which streams may be taken up", async (t) => {
  const bench = await createMixedBench();
  bench.removeEndpoint("v1");
  await bench.advance(retentionMs - 500);
  t.equal(bench.describe(), "v1:open,v2:open");
  await bench.advance(1_000);
  t.equal(bench.describe(), "v1:closing,v2:open");
  t.same(bench.listBegun(), ["v1", "v2"], "streams of it may still be taken up elsewhere");
  await bench.advance(2 * settlingMs);
  t.equal(bench.describe(), "v2:open");
  t.same(bench.listBegun(), ["v2"]);
});

t.test("an instance that starts counts a version that it has never seen as just gone", async (t) => {
  const bench = createRecordBench({ isFirstStart: false });
  bench.put(createKnownRecord({ proven: true, versions: ["v1"] }));
  bench.addEndpoint("v2");
  await bench.settle();
  t.equal(bench.describe(), "v1:open,v2:joining");
  t.same(bench.listBegun(), ["v1"]);
  t.ok(bench.records.isProven("web"));
  await bench.advance(retentionMs - 1_000);
  t.same(bench.listBegun(), ["v1", "v2"]);
});

t.test("a record vouches for the past only in the era of the store in which it was written", async (t) => {
  const bench = createRecordBench({ isFirstStart: false, era: 2 });
  bench.put(createKnownRecord({ proven: true, versions: ["v1"], era: 1 }));
  bench.addEndpoint("v1");
  await bench.settle();
  t.notOk(bench.records.isProven("web"), "the store may have lost a later one");
  await bench.advance(retentionMs + 1_000);
  t.ok(bench.records.isProven("web"), "whatever began before may no longer be taken up");
});

t.test("an instance that was there writes again what a restored store has lost", async (t) => {
  const bench = createRecordBench({ isFirstStart: true, era: 1 });
  bench.addEndpoint("v1");
  await bench.settle();
  const before = bench.get();
  bench.addEndpoint("v2");
  await bench.advance(2 * settlingMs);
  bench.removeEndpoint("v2");
  bench.era = 2;
  bench.put(before);
  await bench.settle();
  t.equal(bench.describe(), "v1:open,v2:open");
  t.ok(bench.records.isProven("web"));
});

t.test("an instance that stood still while the store was restored vouches for nothing", async (t) => {
  for (const isHeardLate of [false, true]) {
    const bench = createRecordBench({ isFirstStart: true, era: 1 });
    bench.addEndpoint("v1");
    await bench.settle();
    const before = bench.get();
    t.ok(bench.records.isProven("web"));
    // Meanwhile others open a version, and streams begin at it; then the store loses that.
    await bench.clock.advance(2 * settlingMs);
    bench.isViewOld = isHeardLate;
    if (isHeardLate) await bench.advance(2 * settlingMs);
    bench.era = 2;
    bench.isViewOld = false;
    bench.put(before);
    bench.addEndpoint("v2");
    t.notOk(bench.records.isProven("web"));
    await bench.settle();
    t.notOk(bench.records.isProven("web"));
    await bench.advance(retentionMs + 1_000);
    t.ok(bench.records.isProven("web"), "whatever began before may no longer be taken up");
  }
});

t.test("an instance that stood still, and has heard of the store since, vouches as before", async (t) => {
  const bench = createRecordBench({ isFirstStart: true, era: 1 });
  bench.addEndpoint("v1");
  await bench.settle();
  const before = bench.get();
  await bench.clock.advance(2 * settlingMs);
  await bench.settle();
  bench.era = 2;
  bench.put(before);
  await bench.settle();
  t.ok(bench.records.isProven("web"));
});

t.test("a service without any record and a fleet that is not new is proven by nobody", async (t) => {
  const bench = createRecordBench({ isFirstStart: false });
  bench.addEndpoint("v1");
  await bench.settle();
  t.equal(bench.describe(), "v1:open");
  t.notOk(bench.records.isProven("web"));
});

t.test("another instance writes what the writer does not", async (t) => {
  const bench: RecordBench = createRecordBench({ isFirstStart: true, isWriter: false });
  bench.addEndpoint("v1");
  await bench.advance(500);
  t.equal(bench.describe(), "");
  await bench.advance(1_000);
  t.equal(bench.describe(), "v1:open");
});

t.test("a record that can't be decoded proves nothing and is replaced", async (t) => {
  const bench = createRecordBench({ isFirstStart: false });
  bench.putBytes(recordKey, Buffer.from("{}"));
  bench.addEndpoint("v1");
  await bench.settle();
  t.equal(bench.describe(), "v1:open");
  t.notOk(bench.records.isProven("web"));
});

t.test(
  "a version that has opened again meanwhile is not removed as one that has long been closing",
  async (t) => {
    const bench = await createMixedBench();
    bench.removeEndpoint("v2");
    await bench.advance(retentionMs + 500);
    t.equal(bench.describe(), "v1:open,v2:closing");
    bench.isStoreDark = true;
    await bench.advance(2 * settlingMs);
    // Another instance, which has seen it serve, has opened it, and a third one closes it again.
    bench.isStoreDark = false;
    bench.put(bench.createLater({ v1: "open", v2: "closing" }, 2));
    await bench.settle();
    t.equal(bench.describe(), "v1:open,v2:closing");
    await bench.advance(settlingMs);
    t.equal(bench.describe(), "v1:open");
  },
);

t.test(
  "a version that another instance has opened is not closed by one that has not seen it serve",
  async (t) => {
    const bench = await createMixedBench();
    bench.removeEndpoint("v2");
    await bench.advance(retentionMs + 500);
    t.equal(bench.describe(), "v1:open,v2:closing");
    bench.put(bench.createLater({ v1: "open", v2: "open" }, 1));
    await bench.settle();
    t.equal(bench.describe(), "v1:open,v2:open");
  },
);
