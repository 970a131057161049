/**
 * Terms in which this instance decides on the places at brittle endpoints. A term begins by a claim: all instances are asked for the
 * places that their requests have, whoever granted them, and nothing is granted until they have replied. While another arbiter still
 * decides that callers prefer, or most of the fleet cannot be asked, only one request is granted at each endpoint.
 * @module
 */
import type { PeerIdentity, PeerLinks } from "@gladewall/coordination";
import type { Clock, Logger, Timer } from "@gladewall/kernel";
import { type ClaimedSlot, createSlotClaim, isSlotClaimReply, type SlotClaimReply } from "./slotMessages.js";

/** Options of the terms. */
export interface SlotTermsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly own: PeerIdentity;
  readonly links: Pick<PeerLinks, "call" | "getLinked">;
  readonly getFleetSize: () => number;
  /** Whether a peer's build answers claims. */
  readonly answersClaims: (name: string) => boolean;
  /** Whether callers prefer one instance to another as the arbiter of a service. */
  readonly precedes: (service: string, one: string, other: string) => boolean;
  /** Whether a reader that callers prefer may be deciding on a service and answers no claims. */
  readonly hasSilentRival: (service: string) => boolean;
  /** Returns the places of this instance's own requests. */
  readonly claimOwn: (service: string) => readonly ClaimedSlot[];
  /** Counts the places of a peer's requests, as of the time at which it was asked. */
  readonly adopt: (
    service: string,
    requester: PeerIdentity,
    slots: readonly ClaimedSlot[],
    at: number,
  ) => void;
  /** Called when more may be granted than before. */
  readonly onChanged: (service: string) => void;
}

enum TermPhase {
  /** The first replies are awaited. */
  Claiming = 1,
  /** Another arbiter may be granting the same places. */
  Sharing = 2,
  Deciding = 3,
}

interface Term {
  phase: TermPhase;
  /** Grows with each term, so that what was known in a former one does not count. */
  readonly number: number;
  limit: number;
  isClaiming: boolean;
  /** Whether the fleet was asked a second time because another arbiter decided until then. */
  isAskedAgain: boolean;
  claimedAt: number;
  /** Last time at which this instance was known to run. */
  seenAt: number;
  usedAt: number;
  /** Until when another arbiter has taken over. */
  yieldedUntil: number;
}

/** What may be granted at each endpoint in a term. */
export interface TermBounds {
  /** Requests with a grant; undefined if all slots may be granted. */
  readonly mostGranted: number | undefined;
  readonly term: number;
}

/** Another instance that claims to decide on a service. */
export interface SlotRival {
  readonly name: string;
  /** Whether it is linked with enough of the fleet to decide on all places. */
  readonly hasFleet: boolean;
}

/** Longest time for a peer's reply to a claim. */
const claimTimeoutMs = 300;
/** Time between two claims while another arbiter may be deciding. */
const claimIntervalMs = 250;
/** A pause of this process after which another instance may have decided meanwhile, and the time between two looks for one. */
const pauseMs = 250;
const watchIntervalMs = 50;
/** Time without requests after which a term is over. */
const idleMs = 10_000;
/** Time for which calls go to another arbiter that claimed the service and that callers prefer. */
const yieldMs = 300;
/** Time from its start in which an instance is linked with all others that run; before, it may not see an arbiter that decides. */
const linkingMs = 1_000;
/** Time after which grants that another arbiter gave before it left the service to this one have reached those that it gave them to. */
const handoverMs = 40;
/** Requests granted at each endpoint while another arbiter may be granting the same places. */
const sharedGrants = 1;
/** Requests that may be granted at each endpoint by the phase; any number if undefined. */
const mostGranted: Readonly<Record<TermPhase, number | undefined>> = {
  [TermPhase.Claiming]: 0,
  [TermPhase.Sharing]: sharedGrants,
  [TermPhase.Deciding]: undefined,
};
/** Part of the fleet, as its reciprocal, that has to be linked: one that is cut off with a few others must not grant all places. */
const linkedPart = 3;

/** Terms by service. */
export class SlotTerms {
  private readonly terms = new Map<string, Term>();
  private lastNumber = 0;
  private readonly startedAt: number;
  private timer: Timer | undefined;

  private constructor(private readonly options: SlotTermsOptions) {
    this.startedAt = options.clock.getTime();
  }

  static create(options: SlotTermsOptions): SlotTerms {
    return new SlotTerms(options);
  }

  /** Returns what may be granted at an endpoint of a service now; a claim that is due is made if requests wait for it. */
  getBounds(service: string, limit: number, hasWaiting: boolean): TermBounds {
    if (hasWaiting) this.ensure(service, limit);
    const term = this.terms.get(service);
    if (!term || this.isOver(term)) return { mostGranted: 0, term: 0 };
    return { mostGranted: mostGranted[term.phase], term: term.number };
  }

  /** Records that a request of a service is decided here; begins a term if there is none. */
  recordUse(service: string, limit: number): void {
    this.ensure(service, limit);
  }

  /** Whether this instance has just started and is not linked with all others yet. */
  get isLinking(): boolean {
    const { clock, links, getFleetSize } = this.options;
    const isNew = clock.getTime() - this.startedAt < linkingMs;
    return isNew && links.getLinked().length + 1 < getFleetSize();
  }

  /** Whether callers have to turn to another arbiter, which has taken over. */
  hasYielded(service: string): boolean {
    return (this.terms.get(service)?.yieldedUntil ?? -Infinity) > this.options.clock.getTime();
  }

  /** Whether this instance decides on a service and has done so a moment ago. */
  isDeciding(service: string, withinMs: number): boolean {
    const term = this.terms.get(service);
    const time = this.options.clock.getTime();
    return term?.phase === TermPhase.Deciding && time - term.usedAt <= withinMs && !this.hasYielded(service);
  }

  /** Applies another instance's claim of a service; returns whether this one has to leave the service to it. */
  handleRival(service: string, { name, hasFleet }: SlotRival): boolean {
    const term = this.terms.get(service);
    if (!term) return false;
    const { own, clock, precedes } = this.options;
    if (hasFleet && precedes(service, name, own.name)) {
      term.yieldedUntil = clock.getTime() + yieldMs;
      term.phase = TermPhase.Sharing;
      return true;
    }
    // What the rival granted meanwhile is to be counted.
    if (clock.getTime() - term.claimedAt >= claimIntervalMs) this.claim(service, term);
    return false;
  }

  /** Asks one peer again for its places, after the link to it was lost. */
  claimPeer(service: string, name: string): void {
    const term = this.terms.get(service);
    if (term && this.options.answersClaims(name)) void this.ask(service, term, name);
  }

  /** Ends the term of a service whose endpoints are not brittle any more. */
  end(service: string): void {
    this.terms.delete(service);
  }

  close(): void {
    this.timer?.cancel();
    this.terms.clear();
  }

  private ensure(service: string, limit: number): Term {
    const time = this.options.clock.getTime();
    let term = this.terms.get(service);
    if (!term || this.isOver(term)) term = this.begin(service, limit);
    term.seenAt = time;
    term.usedAt = time;
    term.limit = limit;
    const isDue = term.phase === TermPhase.Sharing && time - term.claimedAt >= claimIntervalMs;
    if (isDue && !this.hasYielded(service)) this.claim(service, term);
    return term;
  }

  /** Whether another instance may have decided since this one last did. */
  private isOver({ usedAt, seenAt }: Term): boolean {
    const time = this.options.clock.getTime();
    return time - usedAt > idleMs || time - seenAt > pauseMs;
  }

  private begin(service: string, limit: number): Term {
    const time = this.options.clock.getTime();
    const number = (this.lastNumber += 1);
    const times = { claimedAt: time, seenAt: time, usedAt: time, yieldedUntil: -Infinity };
    const term: Term = {
      phase: TermPhase.Claiming,
      number,
      limit,
      isClaiming: false,
      isAskedAgain: false,
      ...times,
    };
    this.terms.set(service, term);
    this.claim(service, term);
    this.watch();
    return term;
  }

  /** Asks all linked instances for the places that their requests have. */
  private claim(service: string, term: Term): void {
    if (term.isClaiming) return;
    const { clock, own, links, answersClaims, claimOwn, adopt } = this.options;
    const at = clock.getTime();
    term.isClaiming = true;
    term.claimedAt = at;
    const peers = links.getLinked().filter(answersClaims);
    void Promise.all(peers.map((name) => this.ask(service, term, name))).then((replies) => {
      term.isClaiming = false;
      if (this.terms.get(service) !== term) return;
      adopt(service, own, claimOwn(service), at);
      this.apply(service, term, replies);
    });
  }

  private async ask(service: string, term: Term, name: string): Promise<SlotClaimReply | undefined> {
    const { links, clock, adopt } = this.options;
    const at = clock.getTime();
    const message = createSlotClaim({ service, limit: term.limit, hasFleet: this.hasFleet });
    const reply = await links.call(name, message, claimTimeoutMs);
    if (!reply.isOk() || !isSlotClaimReply(reply.value)) return undefined;
    const { incarnation, slots } = reply.value;
    if (this.terms.get(service) === term) adopt(service, { name, incarnation }, slots, at);
    return reply.value;
  }

  private get hasFleet(): boolean {
    const { links, getFleetSize } = this.options;
    return (links.getLinked().length + 1) * linkedPart >= getFleetSize();
  }

  private apply(service: string, term: Term, replies: readonly (SlotClaimReply | undefined)[]): void {
    const { own, clock, logger, precedes, hasSilentRival, onChanged } = this.options;
    const { hasFleet } = this;
    const isHandover = replies.some((reply) => reply?.arbiter !== undefined && reply.arbiter !== own.name);
    if (isHandover && term.phase === TermPhase.Claiming && !term.isAskedAgain) {
      term.isAskedAgain = true;
      clock.startTimer(handoverMs, () => this.claim(service, term));
      return;
    }
    const rival = replies
      .map((reply) => reply?.arbiter)
      .find((name) => name !== undefined && name !== own.name && !precedes(service, own.name, name));
    const isAlone = rival === undefined && hasFleet && !hasSilentRival(service);
    const phase = isAlone && !this.hasYielded(service) ? TermPhase.Deciding : TermPhase.Sharing;
    if (phase !== term.phase)
      logger.info("slot.term", {
        service,
        phase: TermPhase[phase],
        asked: replies.length,
        replied: replies.filter((reply) => reply !== undefined).length,
        places: replies.reduce((sum, reply) => sum + (reply?.slots.length ?? 0), 0),
        rival,
        hasFleet,
      });
    term.phase = phase;
    onChanged(service);
  }

  /** Keeps the time at which this process last ran, while there are terms. */
  private watch(): void {
    this.timer ??= this.options.clock.startTimer(watchIntervalMs, () => {
      this.timer = undefined;
      const time = this.options.clock.getTime();
      // A term that was paused keeps its time, so that its next request begins a new one.
      for (const term of this.terms.values()) if (time - term.seenAt <= pauseMs) term.seenAt = time;
      if (this.terms.size > 0) this.watch();
    });
  }
}
