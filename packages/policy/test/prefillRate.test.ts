import t from "tap";
import {
  estimatePrefillRate,
  getMedian,
  minPrefillObservations,
  type PrefillObservation,
} from "@gladewall/policy";

/** Network latency and first decoding steps, a constant part of the time to every first event. */
const baseMs = 34;

/** Returns a generator of pseudo-random numbers from 0 to 1, determined by the seed. */
function createDraw(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

/** Creates observations of prompts of 100 to 12,000 tokens, each with a random delay of up to 8 ms. */
function observe(rate: number, count: number, draw: () => number): PrefillObservation[] {
  return Array.from({ length: count }, () => {
    const tokens = 100 + draw() ** 2 * 11_900;
    return { tokens, elapsedMs: baseMs + tokens / rate + draw() * 8 };
  });
}

t.test("64 first events give the prefill rate within a tenth, whatever the engine's speed", async (t) => {
  for (const rate of [30, 64, 157]) {
    for (let seed = 1; seed <= 20; seed++) {
      const estimate = estimatePrefillRate(observe(rate, 64, createDraw(seed))) ?? 0;
      t.ok(Math.abs(estimate - rate) < rate / 10, `${rate} learned as ${estimate}`);
    }
  }
});

t.test("a slow endpoint or cached prompts shift the estimate by less than 15 %", async (t) => {
  for (let seed = 1; seed <= 20; seed++) {
    const observations = observe(64, 64, createDraw(seed)).map((observation, index) =>
      index % 6 === 0 ? { ...observation, elapsedMs: observation.elapsedMs * 8 } : observation,
    );
    const estimate = estimatePrefillRate(observations) ?? 0;
    t.ok(Math.abs(estimate - 64) < 64 * 0.15, `one endpoint of six slow by eight: ${estimate}`);
    const cached = observe(64, 64, createDraw(seed)).map((observation, index) =>
      index % 8 === 0 ? { ...observation, elapsedMs: baseMs } : observation,
    );
    const cachedEstimate = estimatePrefillRate(cached) ?? 0;
    t.ok(Math.abs(cachedEstimate - 64) < 64 * 0.15, `one prompt of eight cached: ${cachedEstimate}`);
  }
});

t.test("observations without noise give the exact rate", async (t) => {
  const draw = createDraw(7);
  const exact = Array.from({ length: 40 }, () => {
    const tokens = Math.round(draw() * 9_000);
    return { tokens, elapsedMs: baseMs + tokens / 50 };
  });
  t.ok(Math.abs((estimatePrefillRate(exact) ?? 0) - 50) < 1e-6);
});

t.test(
  "too few observations or prompts of equal length give no estimate; implausible rates are clamped",
  async (t) => {
    t.equal(estimatePrefillRate(observe(64, minPrefillObservations - 1, createDraw(1))), undefined);
    t.equal(
      estimatePrefillRate(
        observe(64, 64, createDraw(1)).map((observation) => ({ ...observation, tokens: 900 })),
      ),
      undefined,
    );
    const faster = observe(64, 64, createDraw(1)).map(({ tokens }) => ({
      tokens,
      elapsedMs: 90 - tokens / 1_000,
    }));
    t.equal(estimatePrefillRate(faster), 2_000);
    t.equal(estimatePrefillRate(observe(0.5, 64, createDraw(1))), 2);
    t.equal(getMedian([3, 1, 2]), 2);
    t.equal(getMedian([4, 1, 2, 3]), 2.5);
  },
);
