import fc from "fast-check";
import t from "tap";
import {
  type InstanceRecord,
  InstanceRole,
  InstanceState,
  type InstanceWord,
  LiveView,
  PriceClass,
  WordSource,
} from "@gladewall/coordination";
import { VirtualClock } from "@gladewall/kernel";

function createRecord(id: string, incarnation: number, state = InstanceState.Live): InstanceRecord {
  return {
    id,
    incarnation,
    role: InstanceRole.Endpoint,
    service: "model",
    protocol: "openai-engine",
    address: "127.0.0.1:1",
    hall: "zogno",
    priceClass: PriceClass.Reclaimable,
    price: 1,
    state,
  };
}

function createWord(incarnation: number, state: InstanceState, source = WordSource.Peer): InstanceWord {
  return { id: "a", incarnation, state, source, record: createRecord("a", incarnation, state) };
}

function getLiveIds(view: LiveView): readonly string[] {
  return view.getLive(InstanceRole.Endpoint).map(({ id }) => id);
}

t.test("a leaving word is not undone by a later live one from the lagging list", async (t) => {
  const view = LiveView.create(VirtualClock.create());
  view.addList([createRecord("a", 1)]);
  view.add({
    id: "a",
    incarnation: 1,
    state: InstanceState.Leaving,
    source: WordSource.Notice,
    remaining: 5_000,
  });
  view.addList([createRecord("a", 1)]);
  t.same(getLiveIds(view), []);
  t.equal(view.get("a")?.takenAt, 5_000);
});

t.test(
  "a new instance under an old id is another one, and words about the old one do not touch it",
  async (t) => {
    const view = LiveView.create(VirtualClock.create());
    view.add(createWord(1, InstanceState.Gone));
    view.add(createWord(2, InstanceState.Live));
    t.same(getLiveIds(view), ["a"]);
    t.equal(view.add(createWord(1, InstanceState.Leaving)), false);
    t.same(getLiveIds(view), ["a"]);
  },
);

t.test("a notice that comes before the list knows the instance is not lost", async (t) => {
  const view = LiveView.create(VirtualClock.create());
  view.add({
    id: "a",
    incarnation: 1,
    state: InstanceState.Leaving,
    source: WordSource.Notice,
    remaining: 100,
  });
  view.addList([createRecord("a", 1)]);
  t.same(getLiveIds(view), []);
});

t.test("absence stops work after three lists and ends when the list names the instance again", async (t) => {
  const view = LiveView.create(VirtualClock.create());
  view.addList([createRecord("a", 1), createRecord("b", 1)]);
  for (let list = 0; list < 2; list++) view.addList([createRecord("b", 1)]);
  t.same(getLiveIds(view), ["a", "b"]);
  view.addList([createRecord("b", 1)]);
  t.same(getLiveIds(view), ["b"]);
  view.addList([createRecord("a", 1), createRecord("b", 1)]);
  t.same(getLiveIds(view), ["a", "b"]);
  view.addList([]);
  t.same(getLiveIds(view), ["a", "b"]);
});

t.test("an instance that is gone is forgotten only when the list no longer names it", async (t) => {
  const clock = VirtualClock.create();
  const view = LiveView.create(clock);
  view.addList([createRecord("a", 1), createRecord("b", 1)]);
  view.add(createWord(1, InstanceState.Gone));
  await clock.advance(700_000);
  view.addList([createRecord("a", 1), createRecord("b", 1)]);
  t.same(getLiveIds(view), ["b"]);
  view.addList([createRecord("b", 1)]);
  view.addList([createRecord("b", 1)]);
  t.equal(view.get("a"), undefined);
});

t.test("words lead to the same view in whatever order and however often they come", async (t) => {
  const word = fc.record({
    incarnation: fc.integer({ min: 1, max: 3 }),
    state: fc.constantFrom(InstanceState.Live, InstanceState.Leaving, InstanceState.Gone),
  });
  const merge = (words: readonly { incarnation: number; state: InstanceState }[]): readonly unknown[] => {
    const view = LiveView.create(VirtualClock.create());
    for (const { incarnation, state } of words) view.add(createWord(incarnation, state));
    const merged = view.get("a");
    return [merged?.record.incarnation, merged?.state];
  };
  fc.assert(
    fc.property(fc.array(word, { minLength: 1, maxLength: 8 }), fc.integer(), (words, seed) => {
      const shuffled = [...words, ...words].sort((left, right) => hash(left, seed) - hash(right, seed));
      // Naive version: the highest incarnation, and in it the latest state.
      const highest = Math.max(...words.map(({ incarnation }) => incarnation));
      const latest = Math.max(
        ...words.filter((each) => each.incarnation === highest).map(({ state }) => state),
      );
      t.same(merge(shuffled), [highest, latest]);
    }),
    { seed: 11, numRuns: 200 },
  );
  t.end();
});

function hash(word: { incarnation: number; state: number }, seed: number): number {
  return Math.imul(word.incarnation * 31 + word.state, seed | 1) % 101;
}
