import fc from "fast-check";
import t from "tap";
import { AmountKind, getEqualSplit, getAllocator, ShareAllocator } from "@gladewall/coordination";
import { VirtualClock } from "@gladewall/kernel";

const kinds = [AmountKind.Divisible, AmountKind.Whole];
const duration = 2_000;

function createLender(
  own: string,
  live: readonly string[],
  clock: VirtualClock,
  unreachable: readonly string[] = [],
): ShareAllocator {
  const members = { getLive: () => live, isReachable: (name: string) => !unreachable.includes(name) };
  return ShareAllocator.create(clock, own, members, kinds, duration);
}

const live = ["a", "b", "c"];
const lenderName = getAllocator("row", live)!;
const borrowers = live.filter((name) => name !== lenderName);

/** Creates an allocator and waits for the period in which a new allocator only renews shares. */
async function createSettled(clock: VirtualClock, limit: readonly number[]): Promise<ShareAllocator> {
  const lender = createLender(lenderName, live, clock);
  lender.allocate("row", limit, lenderName, { wanted: [0, 0], held: [0, 0] });
  await clock.advance(duration + 1);
  return lender;
}

t.test("equal splits add up to the limit, including the remainder of whole amounts", async (t) => {
  for (const limit of [0, 1, 2, 10, 11]) {
    const parts = live.map((name) => getEqualSplit("row", [limit, limit], kinds, name, live));
    for (const dimension of [0, 1]) {
      t.ok(Math.abs(parts.reduce((sum, part) => sum + part[dimension]!, 0) - limit) < 1e-9);
    }
  }
});

t.test("one entry with all the demand gets the whole limit once the other shares have expired", async (t) => {
  const clock = VirtualClock.create();
  const lender = await createSettled(clock, [90, 9]);
  await clock.advance(duration);
  const share = lender.allocate("row", [90, 9], borrowers[0]!, { wanted: [500, 50], held: [0, 0] });
  t.same(share, [90, 9]);
  const late = lender.allocate("row", [90, 9], borrowers[1]!, { wanted: [500, 50], held: [0, 0] });
  t.same(late, [0, 0]);
  const renewed = lender.allocate("row", [90, 9], borrowers[0]!, { wanted: [500, 50], held: share! });
  t.same(renewed, [45, 4]);
  t.same(lender.allocate("row", [90, 9], borrowers[1]!, { wanted: [500, 50], held: [0, 0] }), [45, 4]);
});

t.test("an entry that asks later gets a share if the total demand is below the limit", async (t) => {
  const clock = VirtualClock.create();
  const lender = await createSettled(clock, [900, 900]);
  await clock.advance(duration);
  for (const name of live) {
    const [rate = 0, count = 0] = lender.allocate("row", [900, 900], name, { wanted: [3, 3], held: [0, 0] })!;
    t.ok(rate >= 3 && count >= 3, `${name} got ${rate} and ${count}`);
  }
});

t.test("an entry that is not the allocator allocates nothing", async (t) => {
  const clock = VirtualClock.create();
  const other = createLender(borrowers[0]!, live, clock);
  t.equal(other.allocate("row", [9, 9], lenderName, { wanted: [1, 1], held: [0, 0] }), undefined);
});

t.test(
  "a new allocator renews held shares and allocates nothing else until the old shares have expired",
  async (t) => {
    const clock = VirtualClock.create();
    const lender = createLender(lenderName, live, clock);
    t.same(lender.allocate("row", [90, 9], borrowers[0]!, { wanted: [90, 9], held: [30, 3] }), [30, 3]);
    t.equal(lender.allocate("row", [90, 9], borrowers[1]!, { wanted: [90, 9], held: [0, 0] }), undefined);
    await clock.advance(duration + 1);
    t.same(lender.allocate("row", [90, 9], borrowers[1]!, { wanted: [90, 9], held: [0, 0] }), [90, 9]);
  },
);

t.test("partitioned entries keep the part of the limit that an allocator does not divide", async (t) => {
  const clock = VirtualClock.create();
  const cut = borrowers[1]!;
  const lender = createLender(lenderName, live, clock, [cut]);
  lender.allocate("row", [90, 9], lenderName, { wanted: [0, 0], held: [0, 0] });
  await clock.advance(duration + 1);
  const [rate = 0, count = 0] = lender.allocate("row", [90, 9], borrowers[0]!, {
    wanted: [900, 90],
    held: [0, 0],
  })!;
  const [cutRate = 0, cutCount = 0] = getEqualSplit("row", [90, 9], kinds, cut, live);
  t.ok(rate + cutRate <= 90 + 1e-9);
  t.ok(count + cutCount <= 9);
});

t.test(
  "unexpired allocations never add up to more than the limit, whatever is asked when (central counter)",
  async (t) => {
    const question = fc.record({
      borrower: fc.nat(2),
      wanted: fc.integer({ min: 0, max: 300 }),
      pause: fc.integer({ min: 0, max: 900 }),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(question, { minLength: 1, maxLength: 40 }),
        fc.integer({ min: 0, max: 100 }),
        async (questions, limit) => {
          const clock = VirtualClock.create();
          const lender = await createSettled(clock, [limit, limit]);
          const held = new Map<string, { amounts: readonly number[]; until: number }>();
          for (const { borrower, wanted, pause } of questions) {
            const name = live[borrower]!;
            const present = held.get(name);
            const amounts = lender.allocate("row", [limit, limit], name, {
              wanted: [wanted, wanted],
              held: present && present.until > clock.getTime() ? present.amounts : [0, 0],
            })!;
            held.set(name, { amounts, until: clock.getTime() + duration });
            const now = clock.getTime();
            for (const dimension of [0, 1]) {
              let sum = 0;
              for (const loan of held.values()) if (loan.until > now) sum += loan.amounts[dimension]!;
              if (sum > limit + 1e-9) return false;
            }
            await clock.advance(pause);
          }
          return true;
        },
      ),
      { seed: 5, numRuns: 60 },
    );
    t.pass();
  },
);
