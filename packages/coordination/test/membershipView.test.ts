import fc from "fast-check";
import t from "tap";
import {
  type InstanceRecord,
  InstanceRole,
  InstanceState,
  type InstanceUpdate,
  MembershipView,
  PriceClass,
  UpdateSource,
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

function createUpdate(incarnation: number, state: InstanceState, source = UpdateSource.Peer): InstanceUpdate {
  return { id: "a", incarnation, state, source, record: createRecord("a", incarnation, state) };
}

function getLiveIds(view: MembershipView): readonly string[] {
  return view.getLive(InstanceRole.Endpoint).map(({ id }) => id);
}

t.test("a live state from the lagging list does not override a leaving update", async (t) => {
  const view = MembershipView.create(VirtualClock.create());
  view.mergeList([createRecord("a", 1)]);
  view.merge({
    id: "a",
    incarnation: 1,
    state: InstanceState.Leaving,
    source: UpdateSource.Notice,
    remaining: 5_000,
  });
  view.mergeList([createRecord("a", 1)]);
  t.same(getLiveIds(view), []);
  t.equal(view.get("a")?.reclaimAt, 5_000);
});

t.test(
  "a newer incarnation replaces an instance with the same id, and updates of the old incarnation are ignored",
  async (t) => {
    const view = MembershipView.create(VirtualClock.create());
    view.merge(createUpdate(1, InstanceState.Gone));
    view.merge(createUpdate(2, InstanceState.Live));
    t.same(getLiveIds(view), ["a"]);
    t.equal(view.merge(createUpdate(1, InstanceState.Leaving)), false);
    t.same(getLiveIds(view), ["a"]);
  },
);

t.test("a notice that arrives before the list contains the instance is kept", async (t) => {
  const view = MembershipView.create(VirtualClock.create());
  view.merge({
    id: "a",
    incarnation: 1,
    state: InstanceState.Leaving,
    source: UpdateSource.Notice,
    remaining: 100,
  });
  view.mergeList([createRecord("a", 1)]);
  t.same(getLiveIds(view), []);
});

t.test("an instance gets no work after three missed lists, until a list contains it again", async (t) => {
  const view = MembershipView.create(VirtualClock.create());
  view.mergeList([createRecord("a", 1), createRecord("b", 1)]);
  for (let list = 0; list < 2; list++) view.mergeList([createRecord("b", 1)]);
  t.same(getLiveIds(view), ["a", "b"]);
  view.mergeList([createRecord("b", 1)]);
  t.same(getLiveIds(view), ["b"]);
  view.mergeList([createRecord("a", 1), createRecord("b", 1)]);
  t.same(getLiveIds(view), ["a", "b"]);
  view.mergeList([]);
  t.same(getLiveIds(view), ["a", "b"]);
});

t.test("an instance that is gone is removed only once the list no longer contains it", async (t) => {
  const clock = VirtualClock.create();
  const view = MembershipView.create(clock);
  view.mergeList([createRecord("a", 1), createRecord("b", 1)]);
  view.merge(createUpdate(1, InstanceState.Gone));
  await clock.advance(700_000);
  view.mergeList([createRecord("a", 1), createRecord("b", 1)]);
  t.same(getLiveIds(view), ["b"]);
  view.mergeList([createRecord("b", 1)]);
  view.mergeList([createRecord("b", 1)]);
  t.equal(view.get("a"), undefined);
});

t.test("updates lead to the same view in any order and with any number of repetitions", async (t) => {
  const update = fc.record({
    incarnation: fc.integer({ min: 1, max: 3 }),
    state: fc.constantFrom(InstanceState.Live, InstanceState.Leaving, InstanceState.Gone),
  });
  const mergeAll = (
    updates: readonly { incarnation: number; state: InstanceState }[],
  ): readonly unknown[] => {
    const view = MembershipView.create(VirtualClock.create());
    for (const { incarnation, state } of updates) view.merge(createUpdate(incarnation, state));
    const merged = view.get("a");
    return [merged?.record.incarnation, merged?.state];
  };
  fc.assert(
    fc.property(fc.array(update, { minLength: 1, maxLength: 8 }), fc.integer(), (updates, seed) => {
      const shuffled = [...updates, ...updates].sort((left, right) => hash(left, seed) - hash(right, seed));
      // Reference result: the highest incarnation, and the latest state within it.
      const highest = Math.max(...updates.map(({ incarnation }) => incarnation));
      const latest = Math.max(
        ...updates.filter((each) => each.incarnation === highest).map(({ state }) => state),
      );
      t.same(mergeAll(shuffled), [highest, latest]);
    }),
    { seed: 11, numRuns: 200 },
  );
  t.end();
});

function hash(update: { incarnation: number; state: number }, seed: number): number {
  return Math.imul(update.incarnation * 31 + update.state, seed | 1) % 101;
}
