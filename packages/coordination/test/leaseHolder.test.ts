import t from "tap";
import { LeaseHolder } from "@gladewall/coordination";
import { FailureCode, Logger, VirtualClock, type Clock, type Timer } from "@gladewall/kernel";
import { CallOutcome, MemoryKeyValue } from "@gladewall/standins";

/** A holder's own clock. Its timers can be paused while time advances, as in a paused process. */
class PausableClock implements Clock {
  private isPaused = false;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  getWallTime(): number {
    return this.clock.getWallTime();
  }

  getTime(): number {
    return this.clock.getTime();
  }

  getBootTime(): number {
    return this.clock.getBootTime();
  }

  startTimer(delay: number, callback: () => void): Timer {
    return this.clock.startTimer(delay, () =>
      this.isPaused ? void this.waiting.push(callback) : callback(),
    );
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    this.waiting.splice(0).forEach((callback) => callback());
  }
}

function createTestBench() {
  const clock = VirtualClock.create();
  const service = MemoryKeyValue.create(clock);
  const createHolder = (holder: string, own: Clock = clock, source = service) =>
    LeaseHolder.create({
      service: source,
      clock: own,
      logger: Logger.createSilent(),
      name: "planner",
      holder,
      ttlMs: 3_000,
      safetyMarginMs: 500,
      getRandom: () => 0,
    });
  return { clock, service, createHolder };
}

t.test("only one holder has the lease; after its release another gets a higher fencing token", async (t) => {
  const { clock, createHolder } = createTestBench();
  const [left, right] = [createHolder("left"), createHolder("right")];
  left.start();
  await clock.advance(10);
  right.start();
  await clock.advance(10_000);
  const first = left.getFencingToken().unwrap();
  t.equal(right.getFencingToken().unwrapErr().code, FailureCode.LeaseLost);
  const closing = left.close();
  await clock.advance(5_000);
  await closing;
  t.ok(right.getFencingToken().unwrap() > first);
  const closed = right.close();
  await clock.advance(5_000);
  await closed;
});

t.test(
  "a paused holder finds its lease expired before it acts, and no two holders are ever valid at once",
  async (t) => {
    const { clock, createHolder } = createTestBench();
    const pausableClock = new PausableClock(clock);
    const [left, right] = [createHolder("left", pausableClock), createHolder("right")];
    left.start();
    await clock.advance(10);
    right.start();
    await clock.advance(2_000);
    const fence = left.getFencingToken().unwrap();
    pausableClock.pause();
    for (let step = 0; step < 80; step++) {
      await clock.advance(100);
      t.notOk(left.getFencingToken().isOk() && right.getFencingToken().isOk());
    }
    t.ok(left.getFencingToken().isErr());
    t.ok(right.getFencingToken().unwrap() > fence);
    pausableClock.resume();
    await clock.advance(5_000);
    t.ok(left.getFencingToken().isErr());
    for (const holder of [left, right]) {
      const closed = holder.close();
      await clock.advance(5_000);
      await closed;
    }
  },
);

t.test("a lease expires while the holder's machine is suspended", async (t) => {
  const { clock, createHolder } = createTestBench();
  const holder = createHolder("left");
  holder.start();
  await clock.advance(10);
  t.ok(holder.getFencingToken().isOk());
  clock.shiftWallTime(2_600);
  t.equal(
    holder.getFencingToken().unwrapErr().code,
    FailureCode.LeaseLost,
    "immediately, before any timer has run",
  );
  const closed = holder.close();
  await clock.advance(5_000);
  await closed;
});

t.test(
  "the validity of a lease counts from when the renewal was sent, so a late response does not extend it",
  async (t) => {
    const { clock, service, createHolder } = createTestBench();
    const holder = createHolder("left");
    holder.start();
    await clock.advance(10);
    t.ok(holder.getFencingToken().isOk());
    // Renewals take effect from here on, but their responses are lost, so the holder must not rely on them.
    service.nextOutcome = () => CallOutcome.ResponseLost;
    await clock.advance(2_600);
    t.ok(holder.getFencingToken().isErr());
    service.nextOutcome = () => CallOutcome.Answered;
    await clock.advance(1_500);
    t.ok(holder.getFencingToken().isOk());
    const closed = holder.close();
    await clock.advance(5_000);
    await closed;
  },
);
