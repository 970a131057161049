/*
 * Guards brittle endpoints against what all instances send together: places are counted for the fleet, and none is granted twice
 * while the instance that counts them, half of the fleet or all of it is killed, or pauses and comes back.
 */
import t from "tap";
import { BrittleSlotFleet } from "./brittleSlotFleet.js";
import { createSpreadRandom } from "./stepClock.js";

const slots = 6;
const workMs = 100;
const longMs = 1_000;
const longShare = 0.05;
const meanMs = workMs * (1 - longShare) + longMs * longShare;
const lengthMs = 6_000;
const downtimeMs = 700;

/** Disturbances, each of which happens again and again. */
enum Trouble {
  None = "nothing happens",
  Arbiter = "the arbiter is killed",
  Half = "half of the instances are killed",
  All = "all instances are killed",
  Pause = "the arbiter pauses",
}

const acts: Record<Trouble, (fleet: BrittleSlotFleet, random: () => number) => void> = {
  [Trouble.None]: () => undefined,
  [Trouble.Arbiter]: (fleet) => fleet.restart(fleet.arbiter, downtimeMs),
  [Trouble.Half]: (fleet, random) => {
    for (const member of [...fleet.members]) if (random() < 0.5) fleet.restart(member, 300 + random() * 900);
  },
  [Trouble.All]: (fleet, random) => {
    for (const member of [...fleet.members]) fleet.restart(member, 300 + random() * 900);
  },
  [Trouble.Pause]: (fleet, random) => {
    const { arbiter } = fleet;
    arbiter.isFrozen = true;
    fleet.clock.startTimer(300 + random() * 1_700, () => fleet.resume(arbiter));
  },
};

interface Play {
  readonly instances: number;
  readonly endpoints: number;
  readonly refusalLimit: number;
  readonly load: number;
  readonly trouble: Trouble;
  readonly seed: number;
}

async function play({ load, trouble, seed, ...options }: Play) {
  const random = createSpreadRandom(seed);
  const isLarge = options.instances > 12;
  const fleet = await BrittleSlotFleet.create({ ...options, slots, isLarge });
  const perMs = (options.endpoints * slots * load) / meanMs;
  const sent: Promise<void>[] = [];
  let nextTroubleAt = 1_500;
  let due = 0;
  let count = 0;
  for (let time = 0; time < lengthMs; time += 5) {
    for (due += 5 * perMs; due >= 1; due -= 1) {
      const member = fleet.members[Math.floor(random() * fleet.members.length)]!;
      sent.push(fleet.send(member, `r${count++}`, random() < longShare ? longMs : workMs));
    }
    if (time >= nextTroubleAt) {
      acts[trouble](fleet, random);
      nextTroubleAt = time + 1_500 + random() * 1_000;
    }
    await fleet.advance(5);
  }
  await fleet.advance(4_000);
  for (const member of fleet.members) member.arbiter.close();
  return fleet.counts;
}

/** Seeds by hand: `SEEDS=50 node packages/gateway/dist/test/brittlePlaces.test.js`. */
const seeds = Number(process.env.SEEDS ?? 1);
const sizes = [
  { instances: 6, endpoints: 4 },
  { instances: 24, endpoints: 8 },
  { instances: 83, endpoints: 4 },
];
const limits = [0, 1, 5, 20];

for (const size of sizes) {
  for (const trouble of Object.values(Trouble)) {
    t.test(`${size.instances} instances, ${trouble}`, async (t) => {
      for (let seed = 1; seed <= seeds; seed++) {
        const refusalLimit = limits[seed % limits.length]!;
        const load = seed % 2 === 0 ? 1.5 : 0.9;
        for (const limit of seeds === 1 ? [0] : [refusalLimit]) {
          const counts = await play({ ...size, refusalLimit: limit, load, trouble, seed });
          const text = `seed ${seed}, N = ${limit}, load ${load}: ${JSON.stringify(counts)}`;
          t.equal(counts.crashes, 0, text);
          t.equal(counts.late, 0, "nothing waits until its deadline");
          if (trouble === Trouble.None && load < 1) t.ok(counts.served >= counts.asked * 0.95, text);
        }
      }
    });
  }
}
