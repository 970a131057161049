/**
 * Calls the arbiter of a service's slots, which may be this instance. Instances whose builds have not announced that they answer
 * slot calls are not called.
 * @module
 */
import type { PeerIdentity, PeerLinks } from "@gladewall/coordination";
import type { Arbiters } from "../limits/arbiters.js";
import type { SlotReporter } from "./heldSlot.js";
import type { SlotArbiter } from "./slotArbiter.js";
import type { RecentArbiters } from "./recentArbiters.js";
import {
  createSlotCall,
  createSlotEnd,
  createSlotLoad,
  createSlotWait,
  isSlotReply,
  type SlotCall,
  type SlotEndReport,
  type SlotLoadReport,
  type SlotReply,
  type SlotWait,
  SlotReplyKind,
} from "./slotMessages.js";

/** Options of the transport. */
export interface SlotTransportOptions {
  readonly own: PeerIdentity;
  readonly arbiters: Pick<Arbiters, "find" | "call">;
  readonly arbiter: SlotArbiter;
  readonly recent: RecentArbiters;
  readonly fleet: { readonly links: Pick<PeerLinks, "call" | "send">; getLinkedReaders(): readonly string[] };
}

/** A decision of an arbiter that knew enough to decide. */
export type DecidedReply = Exclude<SlotReply, { readonly word: SlotReplyKind.Unknown }>;

/** Which arbiters may be called. */
export interface ArbiterChoice {
  /** An arbiter that is not called again. */
  readonly passedOver?: string | undefined;
  readonly isEngine?: boolean;
}

/** Time that a reply takes at most after the time that an arbiter was told to reply by. */
const replyMarginMs = 50;

/** Sends calls and ends of one instance. */
export class SlotTransport implements SlotReporter {
  private constructor(private readonly options: SlotTransportOptions) {}

  static create(options: SlotTransportOptions): SlotTransport {
    return new SlotTransport(options);
  }

  /**
   * Requests a slot from the service's arbiter other than `passedOver`; undefined if none decides within the time limit. The slots of
   * engines are only requested from arbiters that count what all instances have there.
   */
  async request(
    call: SlotCall,
    limitMs: number,
    { passedOver, isEngine = false }: ArbiterChoice = {},
  ): Promise<DecidedReply | undefined> {
    const reply = await this.requestAny(call, limitMs, { passedOver, isEngine });
    if (reply) this.options.recent.record(call.service, reply.arbiter);
    return reply;
  }

  private async requestAny(
    call: SlotCall,
    limitMs: number,
    { passedOver, isEngine }: ArbiterChoice,
  ): Promise<DecidedReply | undefined> {
    const { own, arbiters, arbiter: ownArbiter } = this.options;
    const subject = getSlotSubject(call.service);
    const supportsCall = (name: string): boolean => {
      const isSupported = isEngine ? ownArbiter.answersClaims(name) : ownArbiter.supportsSlots(name);
      return isSupported && name !== passedOver;
    };
    const arbiter = arbiters.find(subject, supportsCall);
    if (arbiter === undefined) return undefined;
    if (arbiter === own.name) return dropUnknown(ownArbiter.request(own, call));
    const message = createSlotCall(call);
    const isUndecided = (reply: unknown): boolean =>
      !isSlotReply(reply) || reply.word === SlotReplyKind.Unknown;
    const reply = await arbiters.call<SlotReply>({ subject, message, isUndecided, supportsCall }, limitMs);
    const isFromFirst = reply.isOk() && dropUnknown(reply.value)?.arbiter === arbiter;
    if (!isFromFirst) this.options.recent.forget(call.service, arbiter);
    if (reply.isOk()) {
      const decided = dropUnknown(reply.value);
      // The first one may have got the call and grant a slot later, of which nobody would tell it the end.
      if (decided && !isFromFirst) this.end(arbiter, createCancellation(call.service, call.id));
      return decided;
    }
    this.cancelEverywhere(call);
    const isOwnNext = arbiters.find(subject, supportsCall) === own.name;
    return isOwnNext ? dropUnknown(ownArbiter.request(own, call)) : undefined;
  }

  /** Waits for the turn of a queued request; undefined if the arbiter does not reply in time or does not know the request. */
  async wait(arbiter: string, wait: SlotWait): Promise<DecidedReply | undefined> {
    const { own, arbiter: ownArbiter, fleet } = this.options;
    if (arbiter === own.name) return dropUnknown(await ownArbiter.wait(own, wait));
    const reply = await fleet.links.call(arbiter, createSlotWait(wait), wait.waitMs + replyMarginMs);
    return reply.isOk() && isSlotReply(reply.value) ? dropUnknown(reply.value) : undefined;
  }

  /** Tells the arbiter how a grant ended, or that a request is cancelled. */
  end(arbiter: string, end: SlotEndReport): void {
    const { own, arbiter: ownArbiter, fleet } = this.options;
    if (arbiter === own.name) ownArbiter.end(own, end);
    else fleet.links.send(arbiter, createSlotEnd(end));
  }

  /** Tells the arbiter the load that an endpoint reported while a request with a place runs there. */
  recordLoad(arbiter: string, report: SlotLoadReport): void {
    const { own, arbiter: ownArbiter, fleet } = this.options;
    if (arbiter === own.name) ownArbiter.recordLoad(own, report);
    else fleet.links.send(arbiter, createSlotLoad(report));
  }

  /** Cancels a request whose call got no reply; any reader may have received it. */
  private cancelEverywhere({ service, id }: SlotCall): void {
    const { own, arbiter: ownArbiter, fleet } = this.options;
    for (const name of fleet.getLinkedReaders()) {
      const mayHaveReceived = name !== own.name && ownArbiter.supportsSlots(name);
      if (mayHaveReceived) this.end(name, createCancellation(service, id));
    }
  }
}

/** Creates the report of a request that was not sent with a grant. */
export function createCancellation(service: string, id: string): SlotEndReport {
  return { service, id, isCancelled: true, isRejected: false, tookMs: undefined, load: undefined };
}

/** Returns the subject of a service's slots, by which their arbiter is chosen. */
export function getSlotSubject(service: string): string {
  return `slots/${service}`;
}

function dropUnknown(reply: SlotReply): DecidedReply | undefined {
  return reply.word === SlotReplyKind.Unknown ? undefined : reply;
}
