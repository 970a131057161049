import fc from "fast-check";
import t from "tap";
import { type DocumentCodec, DocumentFollower, updateDocument } from "@gladewall/coordination";
import { Failure, FailureCode, Logger, VirtualClock } from "@gladewall/kernel";
import { CallOutcome, MemoryKeyValue } from "@gladewall/standins";
import { Err, Ok, type Result } from "ts-results-es";

interface Sheet {
  readonly version: number;
  readonly rows: Readonly<Record<string, string>>;
  readonly edits: readonly string[];
}

const codec: DocumentCodec<Sheet> = {
  encode: (sheet) => Buffer.from(JSON.stringify(sheet)),
  decode: (bytes) => {
    try {
      return Ok(JSON.parse(Buffer.from(bytes).toString()) as Sheet);
    } catch {
      return Err(Failure.create(FailureCode.TableInvalid, { row: "", column: "", detail: "" }));
    }
  },
  getVersion: (sheet) => sheet.version,
};
const empty: Sheet = { version: 0, rows: {}, edits: [] };

function createTestBench() {
  const clock = VirtualClock.create();
  const service = MemoryKeyValue.create(clock);
  const createFollower = (source = service) =>
    DocumentFollower.create({
      service: source,
      key: "sheet",
      codec,
      clock,
      logger: Logger.createSilent(),
      watchWaitMs: 2_000,
      maxAgeMs: 6_000,
      getRandom: () => 0.5,
    });
  return { clock, service, createFollower };
}

function edit(
  clock: VirtualClock,
  service: MemoryKeyValue,
  row: string,
  id: string,
): Promise<Result<Sheet, Failure>> {
  return updateDocument(
    { service, key: "sheet", codec, empty, clock, timeoutMs: 3_000 },
    {
      apply: (present) => {
        const { version, rows, edits } = present;
        return Ok({ version: version + 1, rows: { ...rows, [row]: id }, edits: [...edits, id] });
      },
      isApplied: (sheet) => sheet.edits.includes(id),
    },
  );
}

async function settle<T>(clock: VirtualClock, promise: Promise<T>): Promise<T> {
  let isDone = false;
  void promise.finally(() => (isDone = true));
  while (!isDone) await clock.advance(10);
  return promise;
}

t.test(
  "a service restored to an older document confirms nothing, and the newer one is written to it again",
  async (t) => {
    const { clock, service, createFollower } = createTestBench();
    await Promise.all([edit(clock, service, "row", "one"), clock.advance(100)]);
    const follower = createFollower();
    follower.start();
    await clock.advance(100);
    const older = service.store.get("sheet")!;
    await Promise.all([edit(clock, service, "row", "two"), clock.advance(200)]);
    t.equal(follower.version, 2);
    const restoredRevision = service.store.tryCompareAndSwap(
      "sheet",
      older.value,
      service.store.get("sheet")!.revision,
    );
    t.ok(restoredRevision);
    await clock.advance(100);
    t.equal(follower.version, 2, "the version never decreases");
    t.ok((service.store.get("sheet")?.revision ?? 0) > restoredRevision!, "the document is written again");
    await Promise.all([edit(clock, service, "row", "three"), clock.advance(200)]);
    t.equal(follower.version, 3, "the next change follows the rewritten document");
    t.same(follower.get()?.document.edits, ["one", "two", "three"]);
    const closed = follower.close();
    await clock.advance(10_000);
    await closed;
  },
);

t.test("a saved document is active at a follower as soon as its watch returns", async (t) => {
  const { clock, service, createFollower } = createTestBench();
  const follower = createFollower();
  follower.start();
  await clock.advance(50);
  t.equal(follower.version, 0);
  await settle(clock, edit(clock, service, "a", "e1"));
  await clock.advance(20);
  t.equal(follower.version, 1);
  t.ok(follower.isCurrent());
  const closed = follower.close();
  await clock.advance(3_000);
  await closed;
});

t.test("a follower never activates an older or unreadable document offered by a peer", async (t) => {
  const { createFollower } = createTestBench();
  const follower = createFollower();
  const offer = (version: number): boolean => follower.offer(codec.encode({ ...empty, version }), 0);
  t.equal(offer(5), true);
  t.equal(offer(4), false);
  t.equal(offer(5), false);
  t.equal(follower.version, 5);
  t.equal(follower.offer(Buffer.from("{"), 0), false);
  t.equal(follower.version, 5);
});

t.test("a follower whose service restores an older document keeps the newer one", async (t) => {
  const { clock, service, createFollower } = createTestBench();
  service.store.tryCompareAndSwap("sheet", codec.encode({ ...empty, version: 2 }), 0);
  const follower = createFollower();
  follower.offer(codec.encode({ ...empty, version: 7 }), 0);
  follower.start();
  await clock.advance(100);
  t.equal(follower.version, 7);
  const closed = follower.close();
  await clock.advance(3_000);
  await closed;
});

t.test(
  "a confirmation counts from when its source was confirmed: two partitioned followers do not keep each other current",
  async (t) => {
    const { clock, service, createFollower } = createTestBench();
    const [left, right] = [createFollower(), createFollower()];
    left.offer(codec.encode({ ...empty, version: 1 }), 0);
    right.offer(codec.encode({ ...empty, version: 1 }), 0);
    service.nextOutcome = () => CallOutcome.Refused;
    for (let second = 0; second < 10; second++) {
      left.confirmVersion(right.version, right.getAgeMs()!);
      right.confirmVersion(left.version, left.getAgeMs()!);
      await clock.advance(1_000);
    }
    t.notOk(left.isCurrent());
    t.notOk(right.isCurrent());
    left.confirmVersion(1, 100);
    t.ok(left.isCurrent());
    t.notOk(left.getAgeMs()! > 100);
  },
);

t.test("a newer version at a peer does not confirm the own document", async (t) => {
  const { clock, createFollower } = createTestBench();
  const follower = createFollower();
  follower.offer(codec.encode({ ...empty, version: 1 }), 0);
  await clock.advance(7_000);
  follower.confirmVersion(2, 0);
  t.notOk(follower.isCurrent());
});

t.test(
  "each concurrent edit is applied exactly once if it succeeds, and not at all if it certainly failed",
  async (t) => {
    const fate = fc.constantFrom(
      CallOutcome.Answered,
      CallOutcome.Answered,
      CallOutcome.Refused,
      CallOutcome.ResponseLost,
      CallOutcome.DelayedEffect,
      CallOutcome.RequestLost,
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(fate, { minLength: 1, maxLength: 30 }),
        fc.integer({ min: 1, max: 6 }),
        async (script, count) => {
          const { clock, service } = createTestBench();
          let call = 0;
          service.nextOutcome = () => script[call++ % script.length] ?? CallOutcome.Answered;
          const ids = Array.from({ length: count }, (_, index) => `e${index}`);
          const running = ids.map((id) => edit(clock, service, id, id));
          const results = await settle(clock, Promise.all(running));
          await clock.advance(200);
          const entry = service.store.get("sheet");
          const stored = entry ? codec.decode(entry.value).unwrap() : empty;
          return results.every((result, index) => {
            const times = stored.edits.filter((id) => id === ids[index]).length;
            if (result.isOk()) return times === 1;
            return result.error.code === FailureCode.ServiceAnswerLost ? times <= 1 : times === 0;
          });
        },
      ),
      { seed: 7, numRuns: 120 },
    );
    t.pass();
  },
);
