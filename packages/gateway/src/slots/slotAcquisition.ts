/**
 * Obtains a slot for one attempt of one request: calls the arbiter, waits for the turn, and falls back to sending the request
 * directly if no arbiter answers.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { SlotRefusal } from "@gladewall/policy";
import { HeldSlot } from "./heldSlot.js";
import type { OpenSlots } from "./openSlots.js";
import { maxExcluded, maxPreferred, type SlotCall, SlotReplyKind } from "./slotMessages.js";
import { createCancellation, type DecidedReply, type SlotTransport } from "./slotTransport.js";
import type { Service } from "../types.js";

/** A request that needs a slot. Times are those of this instance's clock. */
export interface SlotRequestInput {
  readonly request: string;
  readonly service: Service;
  readonly workspace: string;
  readonly route: string;
  readonly rank: number;
  readonly arrivedAt: number;
  /** Latency objective of the route in milliseconds. */
  readonly objectiveMs: number;
  readonly deadlineAt: number;
  /** Incarnations that the request can't be sent to. */
  readonly excluded: readonly string[];
  /** Incarnations of the endpoints that it is best sent to, the best one first; any if omitted. */
  readonly preferred?: readonly string[] | undefined;
  /** Tokens of an engine's memory that it may take; none if omitted. */
  readonly tokens?: number | undefined;
  /** Whether the endpoints crash if they refuse too much, so that no other arbiter must grant the same slots. */
  readonly isBrittle: boolean;
}

/** What becomes of a request for a slot. The names are written to metrics and logs. */
export enum SlotResult {
  /** It is placed and sent without a grant. */
  Direct = 1,
  /** It is sent to the endpoint of the grant. */
  Granted = 2,
  /** It is refused. */
  Refused = 3,
  /** Nobody waits for it any more. */
  Abandoned = 4,
}

/** Answer to a request for a slot. */
export interface SlotAnswer {
  readonly result: SlotResult;
  /** With `Granted`. */
  readonly slot?: HeldSlot;
  /** With `Refused`; undefined if the request waited for its longest time. */
  readonly refusal?: SlotRefusal;
  readonly retryAfterMs?: number | undefined;
  /** Arbiter that decided; undefined if none did. */
  readonly arbiter?: string;
}

/** Options of one acquisition. */
export interface SlotAcquisitionOptions {
  readonly clock: Clock;
  readonly transport: SlotTransport;
  readonly open: OpenSlots;
  /** Identifies the calls of this instance since its start. */
  readonly createId: () => string;
  /** Usual time of an attempt in milliseconds. */
  readonly expectedMs: number;
  /** Called when the request is told that it waits. */
  readonly onQueued: () => void;
}

/** Longest time for an arbiter's first reply; an eighth of the objective bounds it as well. */
const maxReplyMs = 60;
const replyShare = 1 / 8;
/** The same for services whose endpoints crash if two arbiters grant the same slots. */
const maxBrittleReplyMs = 250;
const brittleReplyShare = 1 / 2;
/** Bounds of the time after which a wait is renewed: it detects an arbiter that has stopped, at the cost of two messages. */
const minRenewalMs = 20;
const renewalShare = 1 / 2;

/** Acquires the slot of one attempt. */
export class SlotAcquisition {
  private isAbandoned = false;
  private id = "";
  /** Arbiter at which the request waits. */
  private waitingAt: string | undefined;

  private constructor(
    private readonly input: SlotRequestInput,
    private readonly options: SlotAcquisitionOptions,
  ) {}

  static create(input: SlotRequestInput, options: SlotAcquisitionOptions): SlotAcquisition {
    return new SlotAcquisition(input, options);
  }

  /** Calls arbiters until there is a grant, a refusal, or no arbiter left. */
  async run(): Promise<SlotAnswer> {
    let reply = await this.call();
    if (reply?.word === SlotReplyKind.Queued && !this.isAbandoned) {
      this.options.onQueued();
      const { arbiter } = reply;
      reply = await this.waitForTurn(arbiter, reply.waitMs);
      if (reply === undefined && !this.isAbandoned && !this.canMeetObjective()) {
        reply = await this.call(arbiter);
        if (reply?.word === SlotReplyKind.Queued) reply = await this.waitForTurn(reply.arbiter, reply.waitMs);
      }
    }
    return this.conclude(reply);
  }

  /** Calls the arbiter without waiting: a request that would wait is cancelled at once. */
  async runWithoutWaiting(): Promise<DecidedReply | undefined> {
    const reply = await this.call();
    if (reply?.word === SlotReplyKind.Queued) this.cancelAt(reply.arbiter);
    return reply;
  }

  /** Returns the slot that a reply grants. */
  createSlot(arbiter: string, endpoint: string): HeldSlot {
    const { input, id } = this;
    const { clock, transport: reporter, open } = this.options;
    const { service, deadlineAt, tokens = 0 } = input;
    const isHeldToEnd = service.engine !== undefined;
    const place = { service: service.name, id, endpoint, arbiter, deadlineAt, tokens, isHeldToEnd };
    return HeldSlot.create({ clock, open, reporter, ...place });
  }

  /** Gives up: a request that waits is cancelled now, a grant that is still to come as soon as it comes. */
  abandon(): void {
    this.isAbandoned = true;
    if (this.waitingAt !== undefined) this.cancelAt(this.waitingAt);
  }

  private async call(passedOver?: string): Promise<DecidedReply | undefined> {
    const { input } = this;
    const { clock, transport, createId } = this.options;
    const time = clock.getTime();
    this.id = createId();
    const call: SlotCall = {
      service: input.service.name,
      id: this.id,
      workspace: input.workspace,
      route: input.route,
      rank: input.rank,
      ageMs: time - input.arrivedAt,
      objectiveMs: input.arrivedAt + input.objectiveMs - time,
      deadlineMs: input.deadlineAt - time,
      excluded: input.excluded.slice(0, maxExcluded),
      ...(input.preferred && { preferred: input.preferred.slice(0, maxPreferred) }),
      ...(input.tokens !== undefined && { tokens: input.tokens }),
    };
    const isEngine = input.service.engine !== undefined;
    return transport.request(call, this.getReplyLimitMs(), { passedOver, isEngine });
  }

  private getReplyLimitMs(): number {
    const { isBrittle, objectiveMs } = this.input;
    return isBrittle
      ? Math.min(maxBrittleReplyMs, objectiveMs * brittleReplyShare)
      : Math.min(maxReplyMs, objectiveMs * replyShare);
  }

  private async waitForTurn(arbiter: string, announcedMs: number): Promise<DecidedReply | undefined> {
    const { input, options } = this;
    const maxRenewalMs = Math.max(minRenewalMs, input.objectiveMs * renewalShare);
    const waitMs = Math.min(maxRenewalMs, Math.max(minRenewalMs, announcedMs));
    const wait = { service: input.service.name, id: this.id, waitMs };
    if (this.isAbandoned) this.cancelAt(arbiter);
    else this.waitingAt = arbiter;
    let reply: DecidedReply | undefined;
    do {
      if (this.isAbandoned) return undefined;
      reply = await options.transport.wait(arbiter, wait);
    } while (reply?.word === SlotReplyKind.Queued);
    this.waitingAt = undefined;
    // An arbiter that is only slow must not keep a slot for a request that is sent without it.
    if (reply === undefined) this.cancelAt(arbiter);
    return reply;
  }

  private conclude(reply: DecidedReply | undefined): SlotAnswer {
    if (this.isAbandoned) {
      if (reply && reply.word !== SlotReplyKind.Refused) this.cancelAt(reply.arbiter);
      return { result: SlotResult.Abandoned };
    }
    if (reply?.word === SlotReplyKind.Granted) {
      const { arbiter, endpoint } = reply;
      return { result: SlotResult.Granted, slot: this.createSlot(arbiter, endpoint), arbiter };
    }
    if (reply?.word === SlotReplyKind.Refused) {
      const { arbiter, refusal, retryAfterMs } = reply;
      // This instance knows an endpoint that the arbiter does not know yet, so the arbiter cannot decide on its slots.
      if (refusal === SlotRefusal.NoEndpoint) return { result: SlotResult.Direct, arbiter };
      return { result: SlotResult.Refused, arbiter, refusal, retryAfterMs };
    }
    return { result: SlotResult.Direct };
  }

  /** Whether the response can still be received within the objective if the request is sent now. */
  private canMeetObjective(): boolean {
    const { input, options } = this;
    return options.clock.getTime() + options.expectedMs <= input.arrivedAt + input.objectiveMs;
  }

  private cancelAt(arbiter: string): void {
    this.options.transport.end(arbiter, createCancellation(this.input.service.name, this.id));
  }
}
