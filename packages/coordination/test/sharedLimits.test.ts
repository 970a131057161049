import fc from "fast-check";
import t from "tap";
import { AmountKind, getEqualSplit, getAllocator, ShareAllocator } from "@gladewall/coordination";
import { VirtualClock } from "@gladewall/kernel";

const kinds = [AmountKind.Divisible, AmountKind.Whole];
const duration = 2_000;

function createAllocator(
  own: string,
  live: readonly string[],
  clock: VirtualClock,
  unreachable: readonly string[] = [],
): ShareAllocator {
  const members = { getLive: () => live, isReachable: (name: string) => !unreachable.includes(name) };
  return ShareAllocator.create(clock, own, members, kinds, duration);
}

const live = ["a", "b", "c"];
const allocatorName = getAllocator("row", live)!;
const requesters = live.filter((name) => name !== allocatorName);

/** Creates an allocator and waits for the period in which a new allocator only renews shares. */
async function createSettledAllocator(
  clock: VirtualClock,
  limit: readonly number[],
): Promise<ShareAllocator> {
  const allocator = createAllocator(allocatorName, live, clock);
  allocator.allocate("row", limit, allocatorName, { wanted: [0, 0], held: [0, 0] });
  await clock.advance(duration + 1);
  return allocator;
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
  const allocator = await createSettledAllocator(clock, [90, 9]);
  await clock.advance(duration);
  const share = allocator.allocate("row", [90, 9], requesters[0]!, { wanted: [500, 50], held: [0, 0] });
  t.same(share, [90, 9]);
  const late = allocator.allocate("row", [90, 9], requesters[1]!, { wanted: [500, 50], held: [0, 0] });
  t.same(late, [0, 0]);
  const renewed = allocator.allocate("row", [90, 9], requesters[0]!, { wanted: [500, 50], held: share! });
  t.same(renewed, [45, 4]);
  t.same(allocator.allocate("row", [90, 9], requesters[1]!, { wanted: [500, 50], held: [0, 0] }), [45, 4]);
});

t.test("an entry that asks later gets a share if the total demand is below the limit", async (t) => {
  const clock = VirtualClock.create();
  const allocator = await createSettledAllocator(clock, [900, 900]);
  await clock.advance(duration);
  for (const name of live) {
    const [rate = 0, count = 0] = allocator.allocate("row", [900, 900], name, {
      wanted: [3, 3],
      held: [0, 0],
    })!;
    t.ok(rate >= 3 && count >= 3, `${name} got ${rate} and ${count}`);
  }
});

t.test("an entry that is not the allocator allocates nothing", async (t) => {
  const clock = VirtualClock.create();
  const other = createAllocator(requesters[0]!, live, clock);
  t.equal(other.allocate("row", [9, 9], allocatorName, { wanted: [1, 1], held: [0, 0] }), undefined);
});

t.test(
  "a new allocator renews held shares and allocates nothing else until the old shares have expired",
  async (t) => {
    const clock = VirtualClock.create();
    const allocator = createAllocator(allocatorName, live, clock);
    t.same(allocator.allocate("row", [90, 9], requesters[0]!, { wanted: [90, 9], held: [30, 3] }), [30, 3]);
    t.equal(allocator.allocate("row", [90, 9], requesters[1]!, { wanted: [90, 9], held: [0, 0] }), undefined);
    await clock.advance(duration + 1);
    t.same(allocator.allocate("row", [90, 9], requesters[1]!, { wanted: [90, 9], held: [0, 0] }), [90, 9]);
  },
);

t.test("partitioned entries keep the part of the limit that an allocator does not divide", async (t) => {
  const clock = VirtualClock.create();
  const partitioned = requesters[1]!;
  const allocator = createAllocator(allocatorName, live, clock, [partitioned]);
  allocator.allocate("row", [90, 9], allocatorName, { wanted: [0, 0], held: [0, 0] });
  await clock.advance(duration + 1);
  const [rate = 0, count = 0] = allocator.allocate("row", [90, 9], requesters[0]!, {
    wanted: [900, 90],
    held: [0, 0],
  })!;
  const [cutRate = 0, cutCount = 0] = getEqualSplit("row", [90, 9], kinds, partitioned, live);
  t.ok(rate + cutRate <= 90 + 1e-9);
  t.ok(count + cutCount <= 9);
});

t.test(
  "unexpired allocations never add up to more than the limit, whatever is asked when (central counter)",
  async (t) => {
    const request = fc.record({
      requester: fc.nat(2),
      wanted: fc.integer({ min: 0, max: 300 }),
      pause: fc.integer({ min: 0, max: 900 }),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(request, { minLength: 1, maxLength: 40 }),
        fc.integer({ min: 0, max: 100 }),
        async (requests, limit) => {
          const clock = VirtualClock.create();
          const allocator = await createSettledAllocator(clock, [limit, limit]);
          const held = new Map<string, { amounts: readonly number[]; until: number }>();
          for (const { requester, wanted, pause } of requests) {
            const name = live[requester]!;
            const present = held.get(name);
            const amounts = allocator.allocate("row", [limit, limit], name, {
              wanted: [wanted, wanted],
              held: present && present.until > clock.getTime() ? present.amounts : [0, 0],
            })!;
            held.set(name, { amounts, until: clock.getTime() + duration });
            const now = clock.getTime();
            for (const dimension of [0, 1]) {
              let sum = 0;
              for (const share of held.values()) if (share.until > now) sum += share.amounts[dimension]!;
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
