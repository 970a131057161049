/**
 * Answers arbiters that begin to decide on the places at brittle endpoints: tells them which places requests of this instance have.
 * @module
 */
import type { PeerIdentity, PeerLinks, PeerMessage } from "@gladewall/coordination";
import type { Arbiters } from "../limits/arbiters.js";
import type { BrittleServices } from "../brittle/brittleServices.js";
import type { OpenSlots } from "./openSlots.js";
import type { RecentArbiters } from "./recentArbiters.js";
import type { SlotArbiter } from "./slotArbiter.js";
import { type ClaimedSlot, isSlotClaim, type SlotClaimReply, SlotMessageKind } from "./slotMessages.js";

/** Options of the answers. */
export interface SlotClaimsOptions {
  readonly own: PeerIdentity;
  readonly links: Pick<PeerLinks, "setHandler">;
  readonly open: OpenSlots;
  readonly recent: RecentArbiters;
  readonly arbiters: Pick<Arbiters, "endSkip">;
  readonly arbiter: Pick<SlotArbiter, "handleRival" | "isDeciding">;
  readonly brittle: Pick<BrittleServices, "applyWord">;
}

/** Answers claims. */
export class SlotClaims {
  private constructor(private readonly options: SlotClaimsOptions) {
    options.links.setHandler(SlotMessageKind.Claim, (message, peer) => this.handleClaim(message, peer));
  }

  static create(options: SlotClaimsOptions): SlotClaims {
    return new SlotClaims(options);
  }

  private handleClaim(message: PeerMessage, { name }: PeerIdentity): SlotClaimReply | undefined {
    if (!isSlotClaim(message)) return undefined;
    const { own, open, arbiters, arbiter, brittle } = this.options;
    const { service, limit, hasFleet } = message;
    brittle.applyWord(service, limit);
    if (hasFleet) arbiters.endSkip(name);
    arbiter.handleRival(service, { name, hasFleet });
    const decider = this.findDecider(service);
    return {
      incarnation: own.incarnation,
      slots: claimSlots(open, service, name),
      ...(decider !== undefined && decider !== name && { arbiter: decider }),
    };
  }

  private findDecider(service: string): string | undefined {
    const { own, recent, arbiter } = this.options;
    return arbiter.isDeciding(service) ? own.name : recent.find(service);
  }
}

/** Lets an arbiter count the places of this instance's requests. */
export function claimSlots(open: OpenSlots, service: string, arbiter: string): readonly ClaimedSlot[] {
  return Array.from(open.getOfService(service), (slot) => slot.claim(arbiter));
}
