import t from "tap";
import { CrashRecords, createCrashItems, QuarantineState, RemovalCause } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { FakeMetadataStore, SharedStore } from "@gladewall/standins";

const subject = { workspace: "w", fingerprint: "f" };
const logger = Logger.createSilent();

function createStore() {
  const clock = VirtualClock.create();
  const shared = SharedStore.create(clock);
  const records = CrashRecords.create(clock);
  const store = createCrashItems({
    store: FakeMetadataStore.create(shared, clock),
    clock,
    logger,
    records,
    isWriter: () => true,
  });
  const crashTwice = (): void => {
    for (const incarnation of ["e1", "e2"])
      records.apply({ reports: [{ life: incarnation, suspects: [subject], others: [] }] });
  };
  return { clock, shared, records, store, crashTwice };
}

const key = "gladewall/crashes/f";

t.test("requests in cooldown or blocked are stored, and removed once they are cleared", async (t) => {
  const { clock, shared, records, store, crashTwice } = createStore();
  records.apply({
    reports: [{ life: "e0", suspects: [], others: [{ workspace: "w", fingerprint: "other" }] }],
  });
  crashTwice();
  store.reconcile();
  await clock.advance(100);
  store.reconcile();
  await clock.advance(100);
  t.same([...shared.entries.keys()], [key], "a suspect of a single crash is not stored");
  records.apply({ acquittals: [{ fingerprint: "f", lives: ["e1", "e2"] }] });
  store.reconcile();
  await clock.advance(100);
  t.same([...shared.entries.keys()], []);
});

t.test("an item that the store lost is written again; one that an operator removed is not", async (t) => {
  const { clock, shared, records, store, crashTwice } = createStore();
  crashTwice();
  store.reconcile();
  await clock.advance(100);
  const item = shared.entries.get(key)!;
  store.handleItem(key, item);
  shared.remove(key);
  store.handleItem(key, undefined, { cause: RemovalCause.Lost, troubleAgeMs: undefined });
  t.equal(records.getQuarantineState(subject), QuarantineState.Resting);
  store.reconcile();
  await clock.advance(100);
  t.ok(shared.entries.has(key));
  shared.remove(key);
  store.handleItem(key, undefined, { cause: RemovalCause.Removed, troubleAgeMs: undefined });
  t.equal(records.getQuarantineState(subject), QuarantineState.Clear);
  shared.put(key, item.value);
  store.handleItem(key, item);
  t.equal(
    records.getQuarantineState(subject),
    QuarantineState.Clear,
    "nor by a snapshot that still has the item",
  );
  store.reconcile();
  await clock.advance(100);
  t.notOk(shared.entries.has(key));
});

t.test("an item read from the store restores the quarantine; a malformed one has no effect", async (t) => {
  const { records, store } = createStore();
  const put = (value: string | Uint8Array): void =>
    store.handleItem(key, { key, revision: 1, value: Buffer.from(value as string) });
  for (const value of [
    "",
    "{",
    "[]",
    '{"first":[],"repeated":["e1"]}',
    '{"workspace":"w","first":[],"repeated":[1]}',
    Buffer.from([0xff]),
  ]) {
    put(value);
    t.equal(records.getQuarantineState(subject), QuarantineState.Clear);
  }
  put(JSON.stringify({ workspace: "w", first: ["e1"], repeated: ["e2", "e3"] }));
  t.equal(records.getQuarantineState(subject), QuarantineState.Convicted);
  store.handleItem(key, undefined);
  t.equal(
    records.getQuarantineState(subject),
    QuarantineState.Clear,
    "an operator who removes the item clears the request",
  );
});

t.test(
  "the state read from the store is the one that was written, also if crashes were reported at one moment",
  async (t) => {
    const { clock, shared, records, store } = createStore();
    const other = { workspace: "w", fingerprint: "other" };
    for (const incarnation of ["e1", "e2"])
      records.apply({ reports: [{ life: incarnation, suspects: [], others: [subject] }] });
    records.apply({ reports: [{ life: "e3", suspects: [subject, other], others: [] }] });
    t.equal(records.getQuarantineState(subject), QuarantineState.Resting);
    store.reconcile();
    await clock.advance(100);
    const item = shared.entries.get(key);
    const later = createStore();
    later.store.handleItem(key, { key, revision: 1, value: item!.value });
    t.not(later.records.getQuarantineState(subject), QuarantineState.Clear);
    t.equal(later.records.getUncleared("f").length, 3);
  },
);

t.test("one workspace takes no more than its share of the store", async (t) => {
  const { clock, shared, records, store } = createStore();
  for (let index = 0; index < 80; index++) {
    const subjects = [{ workspace: "flood", fingerprint: `flood${index}` }];
    for (const incarnation of ["a", "b"]) {
      records.apply({ reports: [{ life: `${incarnation}${index}`, suspects: subjects, others: [] }] });
    }
  }
  for (let step = 0; step < 100; step++) {
    store.reconcile();
    await clock.advance(1);
  }
  t.equal(shared.entries.size, 64);
});

/*
 * Guards against a removal from the store that clears a request by mistake. Two instances each had a suspect in flight at an
 * endpoint that crashed, and reported it 4 ms apart. The first report made one of them the only suspect, which was stored; with
 * the second report it was one of two, and its item was removed again. A removal clears a request, because operators clear
 * requests that way, so the responsible request was cleared on all instances and the other one was left as the only suspect.
 */
t.test("a request whose score a later report lowers is not cleared by it", async (t) => {
  const { clock, shared, records, store } = createStore();
  const beside = { workspace: "w", fingerprint: "beside" };
  records.apply({ reports: [{ life: "e1", suspects: [], others: [subject, beside] }] });
  records.apply({ reports: [{ life: "e2", suspects: [subject], others: [] }] });
  store.reconcile();
  await clock.advance(10);
  records.apply({ reports: [{ life: "e2", suspects: [beside], others: [] }] });
  store.reconcile();
  await clock.advance(10);
  store.reconcile();
  const item = shared.entries.get(key);
  t.ok(item, "the item stays");
  if (item) store.handleItem(key, { key, revision: 2, value: item.value });
  else store.handleItem(key, undefined);
  t.equal(records.getQuarantineState(subject), QuarantineState.Isolated);
  t.equal(records.getQuarantineState(beside), QuarantineState.Isolated);
});
