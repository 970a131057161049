/**
 * The place of one attempt at an endpoint, until the attempt has ended or the place is returned unused. The arbiter that granted it
 * is told exactly once, and so is each that has counted it since.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { ClaimedSlot, SlotEndReport, SlotLoadReport } from "./slotMessages.js";
import type { EndpointLoad } from "../types.js";

/** Sends what becomes of a place to an arbiter that counts it. */
export interface SlotReporter {
  end(arbiter: string, end: SlotEndReport): void;
  recordLoad(arbiter: string, report: SlotLoadReport): void;
}

/** Keeps the places that are held now. */
export interface SlotRegistry {
  add(slot: HeldSlot): void;
  remove(slot: HeldSlot): void;
}

/** Options of a held slot. */
export interface HeldSlotOptions {
  readonly clock: Clock;
  readonly service: string;
  /** Identifies the place among those of this instance since its start. */
  readonly id: string;
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  /** Instance that granted it; undefined for a request that is sent without a grant. */
  readonly arbiter?: string | undefined;
  /** Monotonic time by which the request has ended. */
  readonly deadlineAt: number;
  /** Tokens of an engine's memory that the request may take. */
  readonly tokens: number;
  /** Whether the request takes its slot until its response has ended, as at an engine. */
  readonly isHeldToEnd: boolean;
  readonly open: SlotRegistry;
  readonly reporter: SlotReporter;
}

/** A load older than this says nothing about the endpoint at the end of a response. */
const maxLoadAgeMs = 100;

/** A place at an endpoint. */
export class HeldSlot {
  private isEnded = false;
  private sentAt: number | undefined;
  private respondedAt = -Infinity;
  private load: EndpointLoad | undefined;
  private isRejected = false;
  /** Arbiters that count this place. */
  private readonly counters = new Set<string>();

  private constructor(private readonly options: HeldSlotOptions) {
    if (options.arbiter !== undefined) this.counters.add(options.arbiter);
    options.open.add(this);
  }

  static create(options: HeldSlotOptions): HeldSlot {
    return new HeldSlot(options);
  }

  get service(): string {
    return this.options.service;
  }

  get endpoint(): string {
    return this.options.endpoint;
  }

  get arbiter(): string | undefined {
    return this.options.arbiter;
  }

  /** Lets a further arbiter count this place; returns what it needs to know. */
  claim(arbiter: string): ClaimedSlot {
    this.counters.add(arbiter);
    const { id, endpoint, tokens, deadlineAt, clock } = this.options;
    return { id, endpoint, tokens, deadlineMs: Math.max(0, deadlineAt - clock.getTime()) };
  }

  /** Records that the request is sent now. */
  recordSending(): void {
    this.sentAt = this.options.clock.getTime();
  }

  /** Records a response of the endpoint and the load that it reports. */
  recordResponse(load: EndpointLoad | undefined): void {
    this.respondedAt = this.options.clock.getTime();
    this.load = load;
  }

  /** Records that the response goes on for long, so that arbiters are told now what load its head reported. */
  recordStream(): void {
    const { service, id, reporter } = this.options;
    if (!this.load) return;
    for (const arbiter of this.counters) reporter.recordLoad(arbiter, { service, id, load: this.load });
  }

  /** Records that the endpoint did not take the request. */
  recordRejection(): void {
    this.isRejected = true;
  }

  /** Ends the place: a grant is cancelled if the request was not sent with it. */
  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.open.remove(this);
    if (this.counters.size === 0) return;
    const end = this.createReport();
    for (const arbiter of this.counters) this.options.reporter.end(arbiter, end);
  }

  private createReport(): SlotEndReport {
    const { service, id, clock, isHeldToEnd } = this.options;
    const { sentAt, respondedAt, isRejected } = this;
    const time = clock.getTime();
    const endedAt = isHeldToEnd ? time : respondedAt;
    const isTimed = sentAt !== undefined && respondedAt > -Infinity && !isRejected;
    return {
      service,
      id,
      isCancelled: sentAt === undefined,
      isRejected,
      tookMs: isTimed ? endedAt - sentAt : undefined,
      load: time - respondedAt <= maxLoadAgeMs ? this.load : undefined,
    };
  }
}
