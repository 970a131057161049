/*
 * Guards against an instance that takes all connections of a zone while its processor serves a part of them: what it had read waited
 * until it was late, while the other instances were idle.
 */
import t from "tap";
import { ConnectionIntake } from "@gladewall/gateway";
import { type Clock, Logger, type Timer } from "@gladewall/kernel";

/** A clock whose timers run late, as those of a busy process. */
class LateClock implements Clock {
  lateMs = 0;
  private time = 0;
  private pending: { readonly due: number; readonly callback: () => void } | undefined;

  getTime(): number {
    return this.time;
  }

  getBootTime(): number {
    return this.time;
  }

  getWallTime(): number {
    return this.time;
  }

  startTimer(delay: number, callback: () => void): Timer {
    this.pending = { due: this.time + delay, callback };
    return { cancel: () => (this.pending = undefined) };
  }

  /** Lets the pending timer run, late. */
  runNext(): void {
    const { due, callback } = this.pending!;
    this.time = due + this.lateMs;
    callback();
  }
}

function createIntake() {
  const clock = new LateClock();
  const counts = { shed: 0, random: 0 };
  const intake = ConnectionIntake.create({
    clock,
    logger: Logger.createSilent(),
    getRandom: () => (counts.random = (counts.random + 0.37) % 1),
    countShed: () => (counts.shed += 1),
  });
  /** Lets connections arrive for a time; returns the share that was taken. */
  const arrive = (perSecond: number, ms: number): number => {
    const endsAt = clock.getTime() + ms;
    let [arrived, taken] = [0, 0];
    let last = clock.getTime();
    while (clock.getTime() < endsAt) {
      clock.runNext();
      for (let due = ((clock.getTime() - last) * perSecond) / 1_000; due >= 1; due--) {
        arrived += 1;
        taken += intake.accept() ? 1 : 0;
      }
      last = clock.getTime();
    }
    return taken / arrived;
  };
  return { clock, counts, intake, arrive };
}

t.test(
  "an instance that is handed many times its connections closes those unread that it is too busy for",
  async (t) => {
    const { clock, intake, arrive } = createIntake();
    t.equal(arrive(20, 12_000), 1);
    clock.lateMs = 300;
    arrive(400, 1_000);
    t.ok(intake.shedShare >= 0.7, `${intake.shedShare}`);
    const taken = arrive(400, 3_000);
    t.ok(taken > 0.05 && taken < 0.3, `${taken}`);
    clock.lateMs = 0;
    arrive(400, 2_000);
    t.equal(intake.shedShare, 0, "its processor has room");
    t.equal(arrive(400, 1_000), 1);
    await intake.close();
  },
);

t.test("a busy instance that has its usual share takes all, as the others have no more room", async (t) => {
  const { clock, counts, intake, arrive } = createIntake();
  arrive(100, 12_000);
  clock.lateMs = 300;
  t.equal(arrive(150, 5_000), 1);
  t.equal(counts.shed, 0);
  await intake.close();
});

t.test("an instance that has room takes all connections that it is handed", async (t) => {
  const { intake, arrive } = createIntake();
  arrive(20, 12_000);
  t.equal(arrive(2_000, 3_000), 1);
  await intake.close();
});

t.test("an instance that has just started knows no usual number and takes all", async (t) => {
  const { clock, intake, arrive } = createIntake();
  clock.lateMs = 300;
  t.equal(arrive(500, 9_000), 1);
  await intake.close();
});
