/**
 * Decides which new connections an instance takes while it is handed many more than usual, as when a balancer sends nearly all of them
 * to one instance: it closes some unread, so that their callers come to others, and takes as many as it can serve in time. What it has
 * read it serves; it asks callers that keep their connections to open new ones.
 * @module
 */
import type { Clock, Closeable, Logger, Timer } from "@gladewall/kernel";

/** Options of the intake. */
export interface ConnectionIntakeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
  /** Counts a connection that was closed unread. */
  readonly countShed: () => void;
}

/** Interval at which the delay of the event loop is measured. */
const sampleMs = 100;
/** Weight of the latest measurement. */
const sampleWeight = 0.3;
/** Delay of the event loop up to which all connections are taken, and from which on the most are closed. */
const minDelayMs = 50;
const maxDelayMs = 200;
/** Largest share of connections that are closed: the rate at which the others arrive shows when the surplus has ended. */
const maxShare = 0.9;
/** Connections within a second that are many, as a multiple of the usual number, and at least. */
const surplusFactor = 3;
const minSurplus = 20;
/** Weight of one second in the usual number of connections: it follows a lasting increase within half a minute. */
const usualWeight = 0.05;
/** Seconds with connections after which the usual number is known. */
const minSeconds = 10;
const secondMs = 1_000;

/** The intake of one instance. */
export class ConnectionIntake implements Closeable {
  private dueAt: number;
  private delayMs = 0;
  private secondStartedAt: number;
  private inSecond = 0;
  private usualPerSecond = 0;
  /** Seconds with connections that the usual number is based on. */
  private seconds = 0;
  private hasSurplus = false;
  private timer: Timer;

  private constructor(private readonly options: ConnectionIntakeOptions) {
    const time = options.clock.getTime();
    this.secondStartedAt = time;
    this.dueAt = time + sampleMs;
    this.timer = options.clock.startTimer(sampleMs, () => this.sample());
  }

  static create(options: ConnectionIntakeOptions): ConnectionIntake {
    return new ConnectionIntake(options);
  }

  /** Share of new connections that are closed unread at present. */
  get shedShare(): number {
    if (!this.hasSurplus) return 0;
    const share = (this.delayMs - minDelayMs) / (maxDelayMs - minDelayMs);
    return Math.min(maxShare, Math.max(0, share));
  }

  /** Records a new connection; returns whether it is taken. */
  accept(): boolean {
    this.inSecond += 1;
    if (this.inSecond >= this.surplusLimit) this.setSurplus(true);
    if (this.shedShare === 0 || this.options.getRandom() >= this.shedShare) return true;
    this.options.countShed();
    return false;
  }

  async close(): Promise<void> {
    this.timer.cancel();
  }

  /** Number of connections within a second from which on there is a surplus; there is none before the usual number is known. */
  private get surplusLimit(): number {
    return this.seconds < minSeconds ? Infinity : Math.max(minSurplus, this.usualPerSecond * surplusFactor);
  }

  private sample(): void {
    const { clock } = this.options;
    const time = clock.getTime();
    const lateMs = Math.max(0, time - this.dueAt);
    this.delayMs += (lateMs - this.delayMs) * sampleWeight;
    this.dueAt = time + sampleMs;
    this.timer = clock.startTimer(sampleMs, () => this.sample());
    if (time - this.secondStartedAt >= secondMs) this.endSecond(time);
  }

  private endSecond(time: number): void {
    const count = (this.inSecond * secondMs) / (time - this.secondStartedAt);
    this.setSurplus(count >= this.surplusLimit);
    if (count > 0) this.seconds += 1;
    // A plain mean at first, from the first connection on.
    if (this.seconds > 0) {
      this.usualPerSecond += (count - this.usualPerSecond) * Math.max(usualWeight, 1 / this.seconds);
    }
    this.inSecond = 0;
    this.secondStartedAt = time;
  }

  private setSurplus(hasSurplus: boolean): void {
    if (this.hasSurplus === hasSurplus) return;
    this.hasSurplus = hasSurplus;
    this.options.logger.info("intake.surplus", {
      begins: hasSurplus,
      usualPerSecond: Math.round(this.usualPerSecond),
      delayMs: Math.round(this.delayMs),
    });
  }
}
