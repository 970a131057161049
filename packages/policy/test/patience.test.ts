import t from "tap";
import { Patience } from "@gladewall/policy";

/** Draws numbers from 0 to 1, the same in each run. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

t.test(
  "patience follows the hundredth of answers that come last, for short and long expectations",
  async (t) => {
    const patience = Patience.create();
    t.equal(patience.get(40), 540, "assumed before anything was seen");
    const random = createRandom(7);
    for (let count = 0; count < 400; count++) {
      const expectedMs = 10 + random() * 300;
      patience.note(expectedMs, expectedMs + 200 * random());
    }
    const learned = patience.get(0);
    t.ok(learned > 230 && learned <= 250, `a quarter more than these 200 ms: ${learned}`);
    t.equal(patience.get(300), 300 + learned);
  },
);

/** Plays requests that take so long, a try that outlasts the patience being followed by a second one; counts these. */
function playRequests(patience: Patience, count: number, drawElapsedMs: () => number): number {
  const expectedMs = 40;
  let repeats = 0;
  for (let played = 0; played < count; played++) {
    const first = drawElapsedMs();
    if (first <= patience.get(expectedMs)) {
      patience.note(expectedMs, first);
      continue;
    }
    repeats += 1;
    const second = drawElapsedMs();
    if (second < Infinity) patience.note(expectedMs, second);
  }
  return repeats;
}

t.test(
  "where every answer is late, patience grows until few are given up, and falls afterwards",
  async (t) => {
    const patience = Patience.create();
    const random = createRandom(5);
    playRequests(patience, 400, () => 40 + 300 * random());
    const before = patience.get(40);
    playRequests(patience, 400, () => 2_000 + 300 * random());
    const repeats = playRequests(patience, 400, () => 2_000 + 300 * random());
    t.ok(repeats <= 400 * 0.04, `${repeats} repeats`);
    playRequests(patience, 400, () => 40 + 300 * random());
    t.ok(patience.get(40) <= before + 20);
  },
);

t.test("lost answers, up to a fifth of all, make neither patience grow nor repeats many", async (t) => {
  for (const lostShare of [0.02, 0.2]) {
    const patience = Patience.create();
    const random = createRandom(3);
    const repeats = playRequests(patience, 4_000, () =>
      random() < lostShare ? Infinity : 40 + 300 * random(),
    );
    t.ok(patience.get(40) < 450, `${patience.get(40)} ms`);
    t.ok(repeats < 4_000 * (lostShare + 0.02), `${repeats} repeats`);
  }
});
