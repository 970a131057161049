/**
 * Drawn plays of a simulated fleet whose endpoints' software version changes before, while and after its instances are killed.
 * @module
 */
import type { AttemptCounts, Patience } from "./originCallers.js";
import { OriginFleet } from "./originFleet.js";
import { createSpreadRandom } from "./stepClock.js";

/** When the endpoints of the next version arrive and those of the last one leave, relative to the end of the instances. */
export enum RollOutOrder {
  /** Both while no instance runs. */
  WhileDown,
  /** The new ones arrive and the old ones leave at once; the instances are killed right after. */
  JustBefore,
  /** Both versions serve, the instances are killed, the old ones leave later. */
  Overlapping,
  /** Both after the instances have started again. */
  Afterwards,
  /** The new ones arrive before, and the old ones stay until the next round. */
  BothStay,
  /** The version doesn't change. */
  None,
}

/** What the store does from the end of the instances on. */
export enum StoreTrouble {
  None,
  Unreachable,
  Slow,
  /** It goes back to an earlier copy. */
  Restored,
  /** It is unreachable, and goes back to an earlier copy when it returns. */
  UnreachableThenRestored,
}

/** What happens to instances. */
export enum InstanceTrouble {
  AllKilled,
  HalfKilled,
  AllPaused,
  HalfPaused,
}

/** How the time of day of the machines is stepped. */
export enum ClockTrouble {
  None,
  HalfAhead,
  HalfBack,
  AllAhead,
  AllBack,
}

/** What the rounds of a play are drawn from. */
export interface RollOutChoices {
  /** Versions that serve from the start on; a roll-out replaces the first one. */
  readonly firstVersions: readonly string[];
  readonly orders: readonly RollOutOrder[];
  readonly stores: readonly StoreTrouble[];
  readonly instances: readonly InstanceTrouble[];
  readonly clocks: readonly ClockTrouble[];
  readonly hasCuts: boolean;
}

/** Size of a play. */
export interface RollOutPlay {
  readonly instances: number;
  readonly seed: number;
  readonly rounds: number;
  readonly choices: RollOutChoices;
  /** Mean time between two new streams. */
  readonly streamIntervalMs?: number;
}

const versions = ["v1", "v2", "v3"];
const roundMs = 3_000;
const stepMs = 3_600_000;
const endpointsPerVersion = 5;
const usualStoreDelayMs = 12;
/** The copies of the store are this far apart, so that it can go back by seconds. */
const copyMs = 500;
/** Versions of three rounds serve within that time. */
const retentionMs = 7_000;
/** Share of the rounds before which nothing happens for so long that all versions but one are forgotten. */
const quietShare = 0.3;
const quietMs = retentionMs + 500;
const patience: Patience = {
  maxReturns: 25,
  maxRefusals: 3,
  returnMs: 250,
  lifetimeMs: 6_500,
  lateShare: 0.05,
  lateMs: 4_000,
};

export const everyRollOut: RollOutChoices = {
  firstVersions: ["v1"],
  orders: [
    RollOutOrder.WhileDown,
    RollOutOrder.WhileDown,
    RollOutOrder.JustBefore,
    RollOutOrder.JustBefore,
    RollOutOrder.Overlapping,
    RollOutOrder.Afterwards,
    RollOutOrder.BothStay,
    RollOutOrder.None,
  ],
  stores: [
    StoreTrouble.None,
    StoreTrouble.None,
    StoreTrouble.Unreachable,
    StoreTrouble.Slow,
    StoreTrouble.Restored,
    StoreTrouble.UnreachableThenRestored,
  ],
  instances: [
    InstanceTrouble.AllKilled,
    InstanceTrouble.AllKilled,
    InstanceTrouble.AllKilled,
    InstanceTrouble.HalfKilled,
    InstanceTrouble.AllPaused,
    InstanceTrouble.HalfPaused,
  ],
  clocks: [
    ClockTrouble.None,
    ClockTrouble.None,
    ClockTrouble.HalfAhead,
    ClockTrouble.HalfBack,
    ClockTrouble.AllAhead,
    ClockTrouble.AllBack,
  ],
  hasCuts: true,
};

/** All instances are killed while two versions serve all along. */
export const bothServe: RollOutChoices = {
  firstVersions: ["v1", "v2"],
  orders: [RollOutOrder.None],
  stores: [StoreTrouble.None],
  instances: [InstanceTrouble.AllKilled],
  clocks: [ClockTrouble.None],
  hasCuts: false,
};

/** All instances are killed while versions roll over, and each version serves for a round beside the next one. */
export const rollingOver: RollOutChoices = {
  ...bothServe,
  firstVersions: ["v1"],
  orders: [RollOutOrder.BothStay],
};

/** Instances are killed while one version serves all along. */
export const oneServes: RollOutChoices = {
  ...bothServe,
  firstVersions: ["v1"],
  instances: [InstanceTrouble.AllKilled, InstanceTrouble.HalfKilled],
};

interface Offsets {
  readonly arriveMs: number;
  readonly leaveMs: number;
}

/** Times of a roll-out relative to the end of the instances, which are down for `downMs`. */
const offsets: Readonly<Record<RollOutOrder, (random: () => number, downMs: number) => Offsets | undefined>> =
  {
    [RollOutOrder.WhileDown]: (random, downMs) => ({
      arriveMs: random() * downMs,
      leaveMs: random() * downMs,
    }),
    [RollOutOrder.JustBefore]: (random) => {
      const arriveMs = -random() * 400;
      return { arriveMs, leaveMs: arriveMs + random() * 100 };
    },
    [RollOutOrder.Overlapping]: (random) => ({
      arriveMs: -600 * random(),
      leaveMs: 200 + 1_800 * random(),
    }),
    [RollOutOrder.Afterwards]: (random, downMs) => {
      const arriveMs = downMs + random() * 600;
      return { arriveMs, leaveMs: arriveMs - 100 + random() * 400 };
    },
    [RollOutOrder.BothStay]: (random) => ({
      arriveMs: -800 + random() * 400,
      leaveMs: roundMs - 800 - random() * 200,
    }),
    [RollOutOrder.None]: () => undefined,
  };

/** Plays rounds of which each ends some instances in the middle. */
class RollOutPlayer {
  private readonly random: () => number;
  /** Version that the next roll-out replaces. */
  private version = versions[0]!;

  private constructor(
    private readonly fleet: OriginFleet,
    private readonly play: RollOutPlay,
  ) {
    this.random = createSpreadRandom(play.seed + 5_000);
  }

  static create(fleet: OriginFleet, play: RollOutPlay): RollOutPlayer {
    return new RollOutPlayer(fleet, play);
  }

  startFirst(): void {
    for (const version of this.play.choices.firstVersions) this.startVersion(version);
  }

  begin(): void {
    const { fleet, play, random } = this;
    fleet.callers.begin();
    fleet.clock.startTimer(random() * 2 * (play.streamIntervalMs ?? 12), () => this.begin());
  }

  takeCopies(): void {
    this.fleet.store.takeCopy();
    this.fleet.clock.startTimer(copyMs, () => this.takeCopies());
  }

  async playRound(): Promise<void> {
    const { fleet, random } = this;
    const { orders, stores, instances, clocks, hasCuts } = this.play.choices;
    const downMs = 300 + random() * 900;
    const killMs = 1_000 + random() * 300;
    this.scheduleRollOut(this.draw(orders), killMs, downMs);
    fleet.clock.startTimer(killMs, () => this.endInstances(this.draw(instances), downMs));
    fleet.clock.startTimer(killMs + random() * 300 - 200, () => this.disturbStore(this.draw(stores)));
    fleet.clock.startTimer(random() * roundMs, () => this.stepClocks(this.draw(clocks)));
    if (hasCuts && random() < 0.5)
      fleet.clock.startTimer(random() * roundMs, () =>
        fleet.cutOff(this.drawIndex(), 300 + random() * 2_000),
      );
    await fleet.clock.advance(roundMs);
    if (random() < quietShare) await fleet.clock.advance(quietMs);
  }

  private scheduleRollOut(order: RollOutOrder, killMs: number, downMs: number): void {
    const { fleet, random } = this;
    const times = offsets[order](random, downMs);
    if (!times) return;
    const last = this.version;
    const next = this.drawNext(last);
    this.version = next;
    const graceMs = random() < 0.5 ? 1 : 1_500;
    fleet.clock.startTimer(killMs + times.arriveMs, () => this.startVersion(next));
    fleet.clock.startTimer(killMs + times.leaveMs, () => fleet.endpoints.leave(last, graceMs));
  }

  private startVersion(version: string): void {
    for (let index = 0; index < endpointsPerVersion; index++) this.fleet.endpoints.start(version);
  }

  private endInstances(trouble: InstanceTrouble, downMs: number): void {
    const { fleet, random } = this;
    const isHalf = trouble === InstanceTrouble.HalfKilled || trouble === InstanceTrouble.HalfPaused;
    const isKilled = trouble === InstanceTrouble.AllKilled || trouble === InstanceTrouble.HalfKilled;
    for (const index of fleet.members.keys()) {
      if (isHalf && random() < 0.5) continue;
      if (isKilled) fleet.kill(index, downMs + random() * 200);
      else fleet.pause(index, 300 + random() * 1_700);
    }
  }

  private disturbStore(trouble: StoreTrouble): void {
    const { fleet, random } = this;
    const { clock, store } = fleet;
    const lengthMs = 500 + random() * 1_700;
    const copyAgeMs = 500 + random() * 2_500;
    if (trouble === StoreTrouble.Restored) fleet.restoreStore(copyAgeMs);
    if (trouble === StoreTrouble.Slow) {
      store.delayMs = 1_500;
      clock.startTimer(lengthMs, () => (store.delayMs = usualStoreDelayMs));
    }
    if (trouble !== StoreTrouble.Unreachable && trouble !== StoreTrouble.UnreachableThenRestored) return;
    store.setReachable(false);
    clock.startTimer(lengthMs, () => {
      if (trouble === StoreTrouble.UnreachableThenRestored) fleet.restoreStore(copyAgeMs);
      store.setReachable(true);
    });
  }

  private stepClocks(trouble: ClockTrouble): void {
    if (trouble === ClockTrouble.None) return;
    const isHalf = trouble === ClockTrouble.HalfAhead || trouble === ClockTrouble.HalfBack;
    const isAhead = trouble === ClockTrouble.HalfAhead || trouble === ClockTrouble.AllAhead;
    for (const index of this.fleet.members.keys())
      if (!isHalf || this.random() < 0.5) this.fleet.stepTimeOfDay(index, isAhead ? stepMs : -stepMs);
  }

  private draw<Choice>(choices: readonly Choice[]): Choice {
    return choices[Math.floor(this.random() * choices.length)]!;
  }

  private drawIndex(): number {
    return Math.floor(this.random() * this.play.instances);
  }

  private drawNext(last: string): string {
    return this.draw(versions.filter((version) => version !== last));
  }
}

/** Plays rounds of roll-outs; all streams are over at the end. */
export async function playRollOuts(play: RollOutPlay): Promise<OriginFleet> {
  const { instances, seed, rounds } = play;
  const fleet = new OriginFleet({
    instances,
    endpoints: 0,
    seed,
    versions,
    delayMs: seed % 2 === 0 ? 4 : 30,
    recordDelayMs: 300,
    itemDelayMs: 300,
    hasSplitWriters: true,
    retentionMs,
    patience,
  });
  fleet.store.delayMs = usualStoreDelayMs;
  const player = RollOutPlayer.create(fleet, play);
  player.startFirst();
  player.takeCopies();
  await fleet.clock.advance(1_000);
  player.begin();
  for (let round = 0; round < rounds; round++) await player.playRound();
  fleet.callers.isOpen = false;
  await fleet.clock.advance(patience.lifetimeMs + 3_000);
  return fleet;
}

/** Returns the share of take-ups that go on, of the share of new streams that begin. */
export function getGoOnShare(fleets: readonly OriginFleet[]): number {
  const takeUps = addCounts(fleets.map(({ callers }) => callers.takeUpAttempts));
  const beginnings = addCounts(fleets.map(({ callers }) => callers.newAttempts));
  return takeUps.succeeded / takeUps.made / (beginnings.succeeded / beginnings.made);
}

/** Describes what the callers of a play saw. */
export function describePlay({ callers, store }: OriginFleet): string {
  const { begun, newAttempts, takeUpAttempts, refusals, violations } = callers;
  const refused = [...refusals].map(([cause, count]) => `${count} ${cause}`).join(", ");
  return [
    `${begun} streams, ${violations.length} events of another version`,
    `${newAttempts.succeeded} of ${newAttempts.made} new attempts began`,
    `${takeUpAttempts.succeeded} of ${takeUpAttempts.made} take-ups went on (${refused})`,
    `${store.writes} writes`,
  ].join("; ");
}

function addCounts(counts: readonly AttemptCounts[]): AttemptCounts {
  return {
    made: counts.reduce((sum, { made }) => sum + made, 0),
    succeeded: counts.reduce((sum, { succeeded }) => sum + succeeded, 0),
  };
}
