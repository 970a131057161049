/*
 * Guards against a record that vouches for the past and yet lists a version as one at which no stream has begun, although streams have.
 */
import { createKnownRecord, createRecordBench, recordKey } from "./recordBench.js";
import t from "tap";

const settlingMs = 1_500;

t.test(
  "a version at which streams began is not joining again in a proven record after a restore",
  async (t) => {
    const bench = createRecordBench({ isFirstStart: true, era: 1 });
    bench.addEndpoint("v1");
    await bench.settle();
    bench.addEndpoint("v2");
    await bench.settle();
    const copy = bench.get();
    t.equal(bench.describe(), "v1:open,v2:joining");
    await bench.advance(2 * settlingMs);
    t.equal(bench.describe(), "v1:open,v2:open");
    bench.era = 2;
    bench.put(copy);
    await bench.settle();
    t.match(JSON.parse(bench.get().toString()), { era: 2 });
    // All instances end now; one that starts reads what is in the store.
    const next = createRecordBench({ isFirstStart: false, era: 2 });
    next.addEndpoint("v1");
    next.putBytes(recordKey, bench.get());
    const isCertainOfOne = next.records.isProven("web") && next.listBegun().length === 1;
    t.notOk(isCertainOfOne, `begun ${next.listBegun().join()}, proven ${next.records.isProven("web")}`);
  },
);

t.test(
  "an instance that was there adds a lost version to a record that another has written since the restore",
  async (t) => {
    const bench = createRecordBench({ isFirstStart: true, era: 1 });
    bench.addEndpoint("v1");
    await bench.settle();
    bench.addEndpoint("v2");
    await bench.advance(2 * settlingMs);
    bench.removeEndpoint("v2");
    bench.era = 2;
    // An instance that has just started was the first to write in the new era.
    bench.put(createKnownRecord({ proven: false, versions: ["v1"], era: 2 }));
    await bench.advance(3_000);
    const written = JSON.parse(bench.get().toString()) as {
      proven: boolean;
      versions: readonly { version: string }[];
    };
    t.notOk(written.proven && written.versions.length === 1, JSON.stringify(written));
  },
);
