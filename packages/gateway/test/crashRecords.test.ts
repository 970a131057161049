import * as fc from "fast-check";
import t from "tap";
import {
  CrashRecords,
  type CrashReport,
  type CrashSubject,
  type CrashWords,
  Verdict,
} from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";

const minute = 60_000;

function createSubject(fingerprint: string, workspace = "w"): CrashSubject {
  return { workspace, fingerprint };
}

const guilty = createSubject("guilty");

function createBench() {
  const clock = VirtualClock.create();
  const records = CrashRecords.create(clock);
  /** Ends a life with requests there, as an instance that knows all words reports it. */
  const end = (life: string, ...aboard: readonly CrashSubject[]): CrashReport => {
    const report = records.createReport(life, aboard);
    records.take({ reports: [report] });
    return report;
  };
  return { clock, records, end };
}

t.test("one that ends each endpoint it runs at rests after two, and is not run after three", async (t) => {
  const { clock, records, end } = createBench();
  t.equal(records.getVerdict(guilty), Verdict.Clear);
  end("e1", guilty, createSubject("a"), createSubject("b"));
  t.equal(records.getVerdict(guilty), Verdict.Suspect);
  t.equal(records.getVerdict(createSubject("a")), Verdict.Suspect);
  end("e2", guilty, createSubject("c"));
  t.equal(records.getVerdict(guilty), Verdict.Resting);
  t.equal(
    records.getVerdict(createSubject("c")),
    Verdict.Clear,
    "one beside the only suspect is not to blame",
  );
  await clock.advance(minute);
  t.equal(records.getVerdict(guilty), Verdict.Isolated);
  end("e3", guilty);
  t.equal(records.getVerdict(guilty), Verdict.Convicted);
  await clock.advance(100 * minute);
  t.equal(records.getVerdict(guilty), Verdict.Convicted, "time alone changes nothing");
});

/*
 * Where all ends that are kept were needed, a new one was dropped before its requests were noted: its endpoint was not held to
 * have ended.
 */
t.test("an end is kept for the verdict that it makes, also where all others are needed", async (t) => {
  const { records, end } = createBench();
  for (let index = 0; index < 511; index++) {
    const subject = createSubject(`f${index}`, `w${index % 4}`);
    end(`a${index}`, subject);
    end(`b${index}`, subject);
  }
  for (const life of ["g1", "g2", "g3"]) end(life, guilty);
  t.equal(records.getVerdict(guilty), Verdict.Convicted);
  t.ok(records.hasEnded("g3"));
});

t.test("several suspects share the blame, and run apart from then on", async (t) => {
  const { records, end } = createBench();
  const innocent = createSubject("innocent");
  end("e1", guilty, innocent);
  end("e2", guilty, innocent);
  t.equal(records.getVerdict(guilty), Verdict.Isolated);
  t.equal(records.getVerdict(innocent), Verdict.Isolated);
  end("e3", guilty, createSubject("late"));
  t.equal(records.getVerdict(guilty), Verdict.Convicted);
  t.equal(records.getVerdict(innocent), Verdict.Isolated);
});

t.test("ends at the same moment, before anybody knows, set a request apart and no more", async (t) => {
  const { records } = createBench();
  const reports = ["e1", "e2", "e3", "e4"].map((life) => ({ life, suspects: [], others: [guilty] }));
  records.take({ reports });
  t.equal(records.getVerdict(guilty), Verdict.Isolated);
});

t.test("a whole answer clears, and so does an endpoint that turns out to live", async (t) => {
  const { records, end } = createBench();
  const innocent = createSubject("innocent");
  end("e1", guilty, innocent);
  records.take({ acquittals: [{ fingerprint: "innocent", lives: records.getLives("innocent") }] });
  t.equal(records.getVerdict(innocent), Verdict.Clear);
  t.equal(records.getVerdict(guilty), Verdict.Suspect);
  t.ok(records.isWatched("w"));
  records.take({ refuted: ["e1"] });
  t.equal(records.getVerdict(guilty), Verdict.Clear);
  t.notOk(records.isWatched("w"), "nobody's requests are looked at any more");
  end("e1", guilty);
  t.equal(records.getVerdict(guilty), Verdict.Clear, "a late report of the same life changes nothing");
});

t.test("a suspect that never came back is forgotten", async (t) => {
  const { clock, records, end } = createBench();
  end("e1", guilty);
  await clock.advance(11 * minute);
  t.equal(records.getVerdict(guilty), Verdict.Clear);
});

t.test("a workspace that makes endpoints end on purpose pushes out nobody else's requests", async (t) => {
  const { records, end } = createBench();
  const other = createSubject("other", "quiet");
  end("o1", other);
  end("o2", other);
  end("g1", guilty);
  end("g2", guilty);
  for (let index = 0; index < 3_000; index++) end(`f${index}`, createSubject(`flood${index}`));
  t.equal(records.getVerdict(other), Verdict.Resting);
  t.equal(records.getVerdict(guilty), Verdict.Resting, "nor its own of which more is known");
  t.ok(records.count().watched <= 300, `${records.count().watched} are watched`);
});

const name = fc.constantFrom("a", "b", "c", "d");
const life = fc.constantFrom("e1", "e2", "e3", "e4");
const subjects = fc
  .uniqueArray(name, { maxLength: 3 })
  .map((names) => names.map((one) => createSubject(one)));
const words: fc.Arbitrary<CrashWords> = fc.oneof(
  fc.record({ life, suspects: subjects, others: subjects }).map((report) => ({ reports: [report] })),
  life.map((one) => ({ refuted: [one] })),
);

t.test(
  "words that come in another order, and twice, leave every instance with the same verdicts",
  async (t) => {
    fc.assert(
      fc.property(fc.array(words, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (told, draws) => {
        const one = createBench().records;
        const other = createBench().records;
        // Words on an end that is not known yet tell nothing; each word comes again, as peers repeat all they know.
        for (const word of [...told, ...told]) one.take(word);
        const keyed = told.map((word) => ({ word, key: draws.next().value as number }));
        const shuffled = keyed.sort((left, right) => left.key - right.key).map(({ word }) => word);
        for (const word of [...shuffled, ...shuffled]) other.take(word);
        for (const fingerprint of ["a", "b", "c", "d"]) {
          if (one.getVerdict(createSubject(fingerprint)) !== other.getVerdict(createSubject(fingerprint)))
            return false;
        }
        return one.isWatched("w") === other.isWatched("w");
      }),
      { seed: 43, numRuns: 400 },
    );
    t.pass();
  },
);

t.test("what one instance knows makes another know as much", async (t) => {
  const { records, end } = createBench();
  end("e1", guilty, createSubject("a"));
  end("e2", guilty);
  const newcomer = createBench().records;
  t.ok(newcomer.take(records.createWords()));
  t.equal(newcomer.getVerdict(guilty), Verdict.Resting);
  t.equal(newcomer.getVerdict(createSubject("a")), records.getVerdict(createSubject("a")));
  t.notOk(newcomer.take(records.createWords()), "told again, it is nothing new");
});
