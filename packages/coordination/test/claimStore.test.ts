import fc from "fast-check";
import t from "tap";
import { type Claim, type ClaimOutcome, ClaimStore, type ClaimStoreOptions } from "@gladewall/coordination";
import { type Failure, FailureCode, flushPromises, VirtualClock } from "@gladewall/kernel";
import { CallOutcome, MemoryKeyValue } from "@gladewall/standins";
import type { Result } from "ts-results-es";

interface TestBench {
  readonly clock: VirtualClock;
  readonly service: MemoryKeyValue;
  readonly createStore: (changes?: Partial<ClaimStoreOptions>) => ClaimStore;
}

function createTestBench(): TestBench {
  const clock = VirtualClock.create();
  const service = MemoryKeyValue.create(clock);
  const defaults = {
    service,
    clock,
    prefix: "claims/",
    shards: 2,
    minSwapIntervalMs: 10,
    timeoutMs: 2_000,
    retentionMs: 1_000_000,
    maxActiveBytes: 100_000,
  };
  return { clock, service, createStore: (changes) => ClaimStore.create({ ...defaults, ...changes }) };
}

function createClaim(key: string, writer: string, request = `request-of-${writer}`): Claim {
  return { key, request, writer, body: "body", endpoint: "runner-1", run: `run-of-${writer}` };
}

type Outcome = Result<ClaimOutcome, Failure>;

async function settleAll(
  clock: VirtualClock,
  claims: readonly Promise<Outcome>[],
): Promise<readonly Outcome[]> {
  let isDone = false;
  const all = Promise.all(claims).finally(() => (isDone = true));
  while (!isDone) await clock.advance(10);
  return all;
}

t.test("the first claim of a key wins, and a second one gets the claim that holds the key", async (t) => {
  const { clock, createStore } = createTestBench();
  const [left, right] = [createStore(), createStore()];
  const [won] = await settleAll(clock, [left.claim(createClaim("k", "left"))]);
  const [lost] = await settleAll(clock, [right.claim(createClaim("k", "right"))]);
  t.equal(won?.unwrap().isWon, true);
  t.equal(lost?.unwrap().isWon, false);
  t.equal(lost?.unwrap().claim.writer, "left");
});

t.test("concurrent claims of one shard are committed in one swap", async (t) => {
  const { clock, createStore } = createTestBench();
  const store = createStore({ shards: 1 });
  const claims = Array.from({ length: 200 }, (_, index) => store.claim(createClaim(`k${index}`, "w")));
  const outcomes = await settleAll(clock, claims);
  t.ok(outcomes.every((outcome) => outcome.unwrap().isWon));
  t.ok(store.swapCount <= 2, `${store.swapCount} swaps`);
});

t.test("a claim whose response was lost is resolved by reading the segment again", async (t) => {
  for (const fate of [CallOutcome.ResponseLost, CallOutcome.DelayedEffect, CallOutcome.RequestLost]) {
    const { clock, service, createStore } = createTestBench();
    let calls = 0;
    service.nextOutcome = () => (++calls === 2 ? fate : CallOutcome.Answered);
    const [outcome] = await settleAll(clock, [createStore().claim(createClaim("k", "w"))]);
    t.equal(outcome?.unwrap().isWon, true, CallOutcome[fate]);
  }
});

t.test("a claim fails within its timeout and is not reported as won while the service is down", async (t) => {
  const { clock, service, createStore } = createTestBench();
  service.nextOutcome = () => CallOutcome.Refused;
  const [outcome] = await settleAll(clock, [createStore().claim(createClaim("k", "w"))]);
  t.equal(outcome?.unwrapErr().code, FailureCode.ClaimUnavailable);
  t.ok(clock.getTime() < 2_500);
});

t.test(
  "a key stays claimed when its segment is archived, and a new store finds it in the archive",
  async (t) => {
    const { clock, service, createStore } = createTestBench();
    const store = createStore({ shards: 1, maxActiveBytes: 1_000 });
    for (let index = 0; index < 60; index++)
      await settleAll(clock, [store.claim(createClaim(`k${index}`, "w"))]);
    t.ok(service.store.get("claims/0")!.value.length < 2_000);
    const other = createStore({ shards: 1 });
    const [again] = await settleAll(clock, [other.claim(createClaim("k0", "other"))]);
    t.equal(again?.unwrap().isWon, false);
  },
);

t.test("a claim fails instead of winning if an archive cannot be read", async (t) => {
  const { clock, service, createStore } = createTestBench();
  const store = createStore({ shards: 1, maxActiveBytes: 400 });
  for (let index = 0; index < 20; index++)
    await settleAll(clock, [store.claim(createClaim(`k${index}`, "w"))]);
  const other = createStore({ shards: 1, timeoutMs: 500 });
  let reads = 0;
  service.nextOutcome = () => (++reads === 1 ? CallOutcome.Answered : CallOutcome.Refused);
  const [outcome] = await settleAll(clock, [other.claim(createClaim("k0", "other"))]);
  t.ok(outcome?.isErr());
});

t.test("a released key can be claimed again, but only its owner can release it", async (t) => {
  const { clock, createStore } = createTestBench();
  const [left, right] = [createStore(), createStore()];
  const own = createClaim("k", "left");
  await settleAll(clock, [left.claim(own)]);
  const foreign = right.release(createClaim("k", "right"));
  await clock.advance(500);
  t.ok((await foreign).isOk());
  const [refused] = await settleAll(clock, [right.claim(createClaim("k", "right"))]);
  t.equal(refused?.unwrap().isWon, false);
  const released = left.release(own);
  await clock.advance(500);
  t.ok((await released).isOk());
  const [again] = await settleAll(clock, [right.claim(createClaim("k", "right"))]);
  t.equal(again?.unwrap().isWon, true);
});

t.test(
  "a claim that arrives while others are being looked up is itself looked up before it is written",
  async (t) => {
    const { clock, createStore } = createTestBench();
    const first = createStore({ shards: 1, maxActiveBytes: 300 });
    for (let index = 0; index < 12; index++)
      await settleAll(clock, [first.claim(createClaim(`k${index}`, "first"))]);
    const other = createStore({ shards: 1 });
    const unclaimed = other.claim(createClaim("new", "other"));
    // Each call takes one millisecond: first the segment is read, then the archives one by one.
    await clock.advance(2);
    const late = other.claim(createClaim("k11", "other"));
    const outcomes = await settleAll(clock, [unclaimed, late]);
    t.same(
      outcomes.map((outcome) => outcome.unwrap().isWon),
      [true, false],
    );
  },
);

t.test("a claim fails if the stored value cannot be decoded, and the value is not overwritten", async (t) => {
  const { clock, service, createStore } = createTestBench();
  const bytes = Uint8Array.from([0xff, 0x00, 0x13]);
  service.store.tryCompareAndSwap("claims/0", bytes, 0);
  service.store.tryCompareAndSwap("claims/1", bytes, 0);
  const [outcome] = await settleAll(clock, [createStore({ timeoutMs: 300 }).claim(createClaim("k", "w"))]);
  t.equal(outcome?.unwrapErr().code, FailureCode.ClaimUnavailable);
  t.same(service.store.get("claims/0")?.value, bytes);
});

const fates = fc.constantFrom(
  CallOutcome.Answered,
  CallOutcome.Answered,
  CallOutcome.Answered,
  CallOutcome.Refused,
  CallOutcome.ResponseLost,
  CallOutcome.DelayedEffect,
  CallOutcome.RequestLost,
);

t.test("no key is won twice, whichever calls fail (checked against a map)", async (t) => {
  const attempt = fc.record({ storeIndex: fc.nat(2), key: fc.nat(4), pause: fc.nat(60) });
  const scenario = fc.record({
    fates: fc.array(fates, { minLength: 1, maxLength: 60 }),
    attempts: fc.array(attempt, { minLength: 1, maxLength: 25 }),
    maxActiveBytes: fc.constantFrom(200, 100_000),
  });
  await fc.assert(
    fc.asyncProperty(scenario, async ({ fates: fateScript, attempts, maxActiveBytes }) => {
      const { clock, service, createStore } = createTestBench();
      let call = 0;
      service.nextOutcome = () => fateScript[call++ % fateScript.length] ?? CallOutcome.Answered;
      const stores = [0, 1, 2].map(() => createStore({ timeoutMs: 1_500, maxActiveBytes }));
      const running: Promise<Outcome>[] = [];
      for (const [index, { storeIndex, key, pause }] of attempts.entries()) {
        const claim = createClaim(`k${key}`, `w${storeIndex}`, `request-${index}`);
        running.push(stores[storeIndex]!.claim(claim));
        await clock.advance(pause);
      }
      const outcomes = await settleAll(clock, running);
      const winners = new Map<string, string>();
      for (const outcome of outcomes) {
        if (outcome.isErr()) continue;
        const { isWon, claim } = outcome.value;
        if (!isWon) continue;
        if (winners.has(claim.key)) return false;
        winners.set(claim.key, claim.request);
      }
      // Every refused claim must name the actual winner.
      return outcomes.every((outcome) => {
        if (outcome.isErr() || outcome.value.isWon) return true;
        const winner = winners.get(outcome.value.claim.key);
        return winner === undefined || winner === outcome.value.claim.request;
      });
    }),
    { seed: 20261202, numRuns: 150 },
  );
  await flushPromises();
  t.pass();
});
