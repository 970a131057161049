import * as fc from "fast-check";
import t from "tap";
import {
  CrashRecords,
  type CrashReport,
  type CrashSubject,
  type CrashUpdate,
  QuarantineState,
} from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";

const minute = 60_000;

function createSubject(fingerprint: string, workspace = "w"): CrashSubject {
  return { workspace, fingerprint };
}

const responsible = createSubject("responsible");

function createTestBench() {
  const clock = VirtualClock.create();
  const records = CrashRecords.create(clock);
  /** Records a crash with requests in flight, as an instance that has received all updates reports it. */
  const crash = (incarnation: string, ...inFlight: readonly CrashSubject[]): CrashReport => {
    const report = records.createReport(incarnation, inFlight);
    records.apply({ reports: [report] });
    return report;
  };
  return { clock, records, crash };
}

t.test(
  "a request that crashes each endpoint it runs at enters the cooldown after two crashes and is blocked after three",
  async (t) => {
    const { clock, records, crash } = createTestBench();
    t.equal(records.getQuarantineState(responsible), QuarantineState.Clear);
    crash("e1", responsible, createSubject("a"), createSubject("b"));
    t.equal(records.getQuarantineState(responsible), QuarantineState.Suspect);
    t.equal(records.getQuarantineState(createSubject("a")), QuarantineState.Suspect);
    crash("e2", responsible, createSubject("c"));
    t.equal(records.getQuarantineState(responsible), QuarantineState.Resting);
    t.equal(
      records.getQuarantineState(createSubject("c")),
      QuarantineState.Clear,
      "a request in flight beside the only suspect is not a suspect",
    );
    await clock.advance(minute);
    t.equal(records.getQuarantineState(responsible), QuarantineState.Isolated);
    crash("e3", responsible);
    t.equal(records.getQuarantineState(responsible), QuarantineState.Convicted);
    await clock.advance(100 * minute);
    t.equal(
      records.getQuarantineState(responsible),
      QuarantineState.Convicted,
      "time alone does not unblock it",
    );
  },
);

/*
 * Guards against the eviction of a new crash before its requests are recorded, which happened when all remembered crashes were
 * needed: its endpoint was then not known as crashed.
 */
t.test("a crash that supports a quarantine state is kept, also if all others are needed", async (t) => {
  const { records, crash } = createTestBench();
  for (let index = 0; index < 511; index++) {
    const subject = createSubject(`f${index}`, `w${index % 4}`);
    crash(`a${index}`, subject);
    crash(`b${index}`, subject);
  }
  for (const incarnation of ["g1", "g2", "g3"]) crash(incarnation, responsible);
  t.equal(records.getQuarantineState(responsible), QuarantineState.Convicted);
  t.ok(records.hasCrashed("g3"));
});

t.test("several suspects share the suspicion score, and run isolated from then on", async (t) => {
  const { records, crash } = createTestBench();
  const harmless = createSubject("harmless");
  crash("e1", responsible, harmless);
  crash("e2", responsible, harmless);
  t.equal(records.getQuarantineState(responsible), QuarantineState.Isolated);
  t.equal(records.getQuarantineState(harmless), QuarantineState.Isolated);
  crash("e3", responsible, createSubject("late"));
  t.equal(records.getQuarantineState(responsible), QuarantineState.Convicted);
  t.equal(records.getQuarantineState(harmless), QuarantineState.Isolated);
});

t.test("crashes at the same moment, before any instance knows, only isolate a request", async (t) => {
  const { records } = createTestBench();
  const reports = ["e1", "e2", "e3", "e4"].map((incarnation) => ({
    life: incarnation,
    suspects: [],
    others: [responsible],
  }));
  records.apply({ reports });
  t.equal(records.getQuarantineState(responsible), QuarantineState.Isolated);
});

t.test(
  "a complete response clears a request, and so does an endpoint that turns out to be running",
  async (t) => {
    const { records, crash } = createTestBench();
    const harmless = createSubject("harmless");
    crash("e1", responsible, harmless);
    records.apply({ acquittals: [{ fingerprint: "harmless", lives: records.getUncleared("harmless") }] });
    t.equal(records.getQuarantineState(harmless), QuarantineState.Clear);
    t.equal(records.getQuarantineState(responsible), QuarantineState.Suspect);
    t.ok(records.hasSuspects("w"));
    records.apply({ refuted: ["e1"] });
    t.equal(records.getQuarantineState(responsible), QuarantineState.Clear);
    t.notOk(records.hasSuspects("w"), "the workspace has no suspects any more");
    crash("e1", responsible);
    t.equal(
      records.getQuarantineState(responsible),
      QuarantineState.Clear,
      "a late report of the same incarnation changes nothing",
    );
  },
);

t.test("a suspect that is not sent again is forgotten", async (t) => {
  const { clock, records, crash } = createTestBench();
  crash("e1", responsible);
  await clock.advance(11 * minute);
  t.equal(records.getQuarantineState(responsible), QuarantineState.Clear);
});

t.test("a workspace that crashes endpoints on purpose displaces no other workspace's suspects", async (t) => {
  const { records, crash } = createTestBench();
  const other = createSubject("other", "quiet");
  crash("o1", other);
  crash("o2", other);
  crash("g1", responsible);
  crash("g2", responsible);
  for (let index = 0; index < 3_000; index++) crash(`f${index}`, createSubject(`flood${index}`));
  t.equal(records.getQuarantineState(other), QuarantineState.Resting);
  t.equal(
    records.getQuarantineState(responsible),
    QuarantineState.Resting,
    "nor its own suspects with a higher score",
  );
  t.ok(records.count().watched <= 300, `${records.count().watched} suspects`);
});

const name = fc.constantFrom("a", "b", "c", "d");
const incarnation = fc.constantFrom("e1", "e2", "e3", "e4");
const subjects = fc
  .uniqueArray(name, { maxLength: 3 })
  .map((names) => names.map((one) => createSubject(one)));
const anyUpdate: fc.Arbitrary<CrashUpdate> = fc.oneof(
  fc
    .record({ life: incarnation, suspects: subjects, others: subjects })
    .map((report) => ({ reports: [report] })),
  incarnation.map((one) => ({ refuted: [one] })),
);

t.test(
  "updates in any order, and repeated, lead to the same quarantine states on every instance",
  async (t) => {
    fc.assert(
      fc.property(fc.array(anyUpdate, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (updates, draws) => {
        const one = createTestBench().records;
        const other = createTestBench().records;
        // Updates on an unknown crash have no effect, so each update is applied twice, as peers resend all that they have
        // recorded.
        for (const update of [...updates, ...updates]) one.apply(update);
        const keyed = updates.map((update) => ({ update, key: draws.next().value as number }));
        const shuffled = keyed.sort((left, right) => left.key - right.key).map(({ update }) => update);
        for (const update of [...shuffled, ...shuffled]) other.apply(update);
        for (const fingerprint of ["a", "b", "c", "d"]) {
          if (
            one.getQuarantineState(createSubject(fingerprint)) !==
            other.getQuarantineState(createSubject(fingerprint))
          )
            return false;
        }
        return one.hasSuspects("w") === other.hasSuspects("w");
      }),
      { seed: 43, numRuns: 400 },
    );
    t.pass();
  },
);

t.test("a snapshot brings another instance to the same state", async (t) => {
  const { records, crash } = createTestBench();
  crash("e1", responsible, createSubject("a"));
  crash("e2", responsible);
  const newInstance = createTestBench().records;
  t.ok(newInstance.apply(records.createSnapshot()));
  t.equal(newInstance.getQuarantineState(responsible), QuarantineState.Resting);
  t.equal(newInstance.getQuarantineState(createSubject("a")), records.getQuarantineState(createSubject("a")));
  t.notOk(newInstance.apply(records.createSnapshot()), "applied again, it contains nothing new");
});
