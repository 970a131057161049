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

const guilty = createSubject("guilty");

function createTestBench() {
  const clock = VirtualClock.create();
  const records = CrashRecords.create(clock);
  /** Records a crash with requests in flight, as an instance that knows all updates reports it. */
  const end = (life: string, ...aboard: readonly CrashSubject[]): CrashReport => {
    const report = records.createReport(life, aboard);
    records.apply({ reports: [report] });
    return report;
  };
  return { clock, records, end };
}

t.test(
  "a request that crashes each endpoint it runs at enters the cooldown after two crashes and is blocked after three",
  async (t) => {
    const { clock, records, end } = createTestBench();
    t.equal(records.getQuarantineState(guilty), QuarantineState.Clear);
    end("e1", guilty, createSubject("a"), createSubject("b"));
    t.equal(records.getQuarantineState(guilty), QuarantineState.Suspect);
    t.equal(records.getQuarantineState(createSubject("a")), QuarantineState.Suspect);
    end("e2", guilty, createSubject("c"));
    t.equal(records.getQuarantineState(guilty), QuarantineState.Resting);
    t.equal(
      records.getQuarantineState(createSubject("c")),
      QuarantineState.Clear,
      "a request in flight beside the only suspect is not a suspect",
    );
    await clock.advance(minute);
    t.equal(records.getQuarantineState(guilty), QuarantineState.Isolated);
    end("e3", guilty);
    t.equal(records.getQuarantineState(guilty), QuarantineState.Convicted);
    await clock.advance(100 * minute);
    t.equal(records.getQuarantineState(guilty), QuarantineState.Convicted, "time alone does not unblock it");
  },
);

/*
 * Guards against the eviction of a new crash before its requests are recorded, which happened when all remembered crashes were
 * needed: its endpoint was then not known as crashed.
 */
t.test("a crash that supports a quarantine state is kept, also if all others are needed", async (t) => {
  const { records, end } = createTestBench();
  for (let index = 0; index < 511; index++) {
    const subject = createSubject(`f${index}`, `w${index % 4}`);
    end(`a${index}`, subject);
    end(`b${index}`, subject);
  }
  for (const life of ["g1", "g2", "g3"]) end(life, guilty);
  t.equal(records.getQuarantineState(guilty), QuarantineState.Convicted);
  t.ok(records.hasCrashed("g3"));
});

t.test("several suspects share the suspicion score, and run isolated from then on", async (t) => {
  const { records, end } = createTestBench();
  const innocent = createSubject("innocent");
  end("e1", guilty, innocent);
  end("e2", guilty, innocent);
  t.equal(records.getQuarantineState(guilty), QuarantineState.Isolated);
  t.equal(records.getQuarantineState(innocent), QuarantineState.Isolated);
  end("e3", guilty, createSubject("late"));
  t.equal(records.getQuarantineState(guilty), QuarantineState.Convicted);
  t.equal(records.getQuarantineState(innocent), QuarantineState.Isolated);
});

t.test("crashes at the same moment, before any instance knows, only isolate a request", async (t) => {
  const { records } = createTestBench();
  const reports = ["e1", "e2", "e3", "e4"].map((life) => ({ life, suspects: [], others: [guilty] }));
  records.apply({ reports });
  t.equal(records.getQuarantineState(guilty), QuarantineState.Isolated);
});

t.test(
  "a complete response clears a request, and so does an endpoint that turns out to be running",
  async (t) => {
    const { records, end } = createTestBench();
    const innocent = createSubject("innocent");
    end("e1", guilty, innocent);
    records.apply({ acquittals: [{ fingerprint: "innocent", lives: records.getUncleared("innocent") }] });
    t.equal(records.getQuarantineState(innocent), QuarantineState.Clear);
    t.equal(records.getQuarantineState(guilty), QuarantineState.Suspect);
    t.ok(records.hasSuspects("w"));
    records.apply({ refuted: ["e1"] });
    t.equal(records.getQuarantineState(guilty), QuarantineState.Clear);
    t.notOk(records.hasSuspects("w"), "the workspace has no suspects any more");
    end("e1", guilty);
    t.equal(
      records.getQuarantineState(guilty),
      QuarantineState.Clear,
      "a late report of the same incarnation changes nothing",
    );
  },
);

t.test("a suspect that is not sent again is forgotten", async (t) => {
  const { clock, records, end } = createTestBench();
  end("e1", guilty);
  await clock.advance(11 * minute);
  t.equal(records.getQuarantineState(guilty), QuarantineState.Clear);
});

t.test("a workspace that crashes endpoints on purpose displaces no other workspace's suspects", async (t) => {
  const { records, end } = createTestBench();
  const other = createSubject("other", "quiet");
  end("o1", other);
  end("o2", other);
  end("g1", guilty);
  end("g2", guilty);
  for (let index = 0; index < 3_000; index++) end(`f${index}`, createSubject(`flood${index}`));
  t.equal(records.getQuarantineState(other), QuarantineState.Resting);
  t.equal(
    records.getQuarantineState(guilty),
    QuarantineState.Resting,
    "nor its own suspects with a higher score",
  );
  t.ok(records.count().watched <= 300, `${records.count().watched} suspects`);
});

const name = fc.constantFrom("a", "b", "c", "d");
const life = fc.constantFrom("e1", "e2", "e3", "e4");
const subjects = fc
  .uniqueArray(name, { maxLength: 3 })
  .map((names) => names.map((one) => createSubject(one)));
const words: fc.Arbitrary<CrashUpdate> = fc.oneof(
  fc.record({ life, suspects: subjects, others: subjects }).map((report) => ({ reports: [report] })),
  life.map((one) => ({ refuted: [one] })),
);

t.test(
  "updates in any order, and repeated, lead to the same quarantine states on every instance",
  async (t) => {
    fc.assert(
      fc.property(fc.array(words, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (told, draws) => {
        const one = createTestBench().records;
        const other = createTestBench().records;
        // Updates on an unknown crash have no effect, so each update is applied twice, as peers resend all they know.
        for (const word of [...told, ...told]) one.apply(word);
        const keyed = told.map((word) => ({ word, key: draws.next().value as number }));
        const shuffled = keyed.sort((left, right) => left.key - right.key).map(({ word }) => word);
        for (const word of [...shuffled, ...shuffled]) other.apply(word);
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
  const { records, end } = createTestBench();
  end("e1", guilty, createSubject("a"));
  end("e2", guilty);
  const newcomer = createTestBench().records;
  t.ok(newcomer.apply(records.createSnapshot()));
  t.equal(newcomer.getQuarantineState(guilty), QuarantineState.Resting);
  t.equal(newcomer.getQuarantineState(createSubject("a")), records.getQuarantineState(createSubject("a")));
  t.notOk(newcomer.apply(records.createSnapshot()), "applied again, it contains nothing new");
});
