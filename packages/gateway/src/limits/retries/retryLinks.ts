/**
 * The messages by which instances lend retries to the arbiter of a service and request them from it. Builds that do not announce the
 * message are neither lent to nor called.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { FleetTopology } from "../../fleet/fleetBroadcast.js";
import { GrantDecision } from "../grantDecision.js";
import type { PeerUptime } from "../../fleet/peerUptimes.js";
import type { ArbiterCall } from "../arbiters.js";
import { RetryCause } from "./creditPool.js";
import type { CreditBatch } from "./retryCredits.js";

/** Numbers of the messages. */
export enum RetryMessageKind {
  Call = 47,
  Loan = 53,
}

/** Fields of the call: the retries of a service that an instance has taken. */
export interface RetryCallArguments {
  readonly service: string;
  /** Retries that the sender has taken since its start, including the requested one. */
  readonly total: number;
  /** Milliseconds since the sender's start. */
  readonly uptime: number;
  /** Left out by earlier builds. */
  readonly cause?: RetryCause;
}

/** Reply to the call. */
export interface RetryReply {
  readonly word: GrantDecision;
}

/** Retries that are lent: by service, their amount and the milliseconds after which they lapse. */
export type Loans = Readonly<Record<string, readonly [amount: number, lapsesInMs: number]>>;

/** Announces that the sender grants lent retries, and lends some unless the other fields are left out. */
interface LoanMessage extends PeerMessage {
  readonly kind: RetryMessageKind.Loan;
  /**
   * Start and uptime of the receiver, as the sender last heard: the time at which the retries lapse counts from there, so that a
   * message which was delayed lends them for no longer.
   */
  readonly incarnation?: number;
  readonly uptime?: number;
  readonly loans?: Loans;
}

/** Options of the links. */
export interface RetryLinksOptions {
  readonly fleet: FleetTopology;
  /** Start of this instance. */
  readonly incarnation: number;
  /** Returns the milliseconds since this instance's start. */
  readonly getUptime: () => number;
  /** Returns what was last heard of a peer's uptime; undefined if nothing was heard recently. */
  readonly findPeerUptime: (name: string) => PeerUptime | undefined;
  readonly decide: (call: RetryCallArguments) => RetryReply;
  /** Takes what a peer lends; `lapsesInMs` counts from now. */
  readonly addLoan: (service: string, amount: number, lapsesInMs: number) => void;
}

/** Sends and receives loans, and replies to calls that request retries. */
export class RetryLinks {
  /** Incarnations of peers that grant lent retries, by name. */
  private readonly announced = new Map<string, number>();

  private constructor(private readonly options: RetryLinksOptions) {
    const { links } = options.fleet;
    links.setHandler(RetryMessageKind.Call, (message) => this.handleCall(message));
    links.setHandler(RetryMessageKind.Loan, (message, peer) => this.handleLoan(message, peer));
    links.onLinkUp(({ name, incarnation }) => {
      if (this.announced.get(name) !== incarnation) this.announced.delete(name);
      links.send(name, { kind: RetryMessageKind.Loan });
    });
  }

  static create(options: RetryLinksOptions): RetryLinks {
    return new RetryLinks(options);
  }

  /** Whether a peer's build grants lent retries. */
  supportsLoans(name: string): boolean {
    return this.announced.has(name);
  }

  /** Whether a loan to a peer would reach the start of it that is known here. */
  canLend(name: string): boolean {
    const heard = this.options.findPeerUptime(name);
    return heard !== undefined && this.announced.get(name) === heard.incarnation;
  }

  /** Lends retries to a peer; they are lost if the message is. */
  lend(name: string, loans: Loans): void {
    const heard = this.options.findPeerUptime(name);
    if (!heard) return;
    const { incarnation, uptime } = heard;
    const message: LoanMessage = { kind: RetryMessageKind.Loan, incarnation, uptime, loans };
    this.options.fleet.links.send(name, message);
  }

  /** Replies `Unknown` if this instance does not receive the whole fleet's reports: it is not an arbiter then. */
  private handleCall(message: PeerMessage): RetryReply {
    if (!this.options.fleet.isCollector || !isRetryCall(message)) return { word: GrantDecision.Unknown };
    return this.options.decide(message);
  }

  private handleLoan(message: PeerMessage, peer: PeerIdentity): void {
    const { incarnation, uptime, loans } = message as Partial<LoanMessage>;
    this.announced.set(peer.name, peer.incarnation);
    const ageMs = this.options.getUptime() - (uptime ?? NaN);
    const isValid = incarnation === this.options.incarnation && ageMs >= 0;
    if (!isValid || typeof loans !== "object" || loans === null) return;
    for (const [service, loan] of Object.entries(loans)) {
      if (!Array.isArray(loan)) continue;
      const [amount, lapsesInMs] = loan as readonly unknown[];
      if (!Number.isFinite(amount) || !Number.isFinite(lapsesInMs)) continue;
      this.options.addLoan(service, amount as number, (lapsesInMs as number) - ageMs);
    }
  }
}

function isRetryCall(message: object): message is PeerMessage & RetryCallArguments {
  const { service, total, uptime, cause } = message as Partial<RetryCallArguments>;
  const isCauseValid = cause === undefined || RetryCause[cause] !== undefined;
  return typeof service === "string" && Number.isFinite(total) && Number.isFinite(uptime) && isCauseValid;
}

/** Creates the entry of a loan; `time` is the present monotonic time. */
export function createLoan({ amount, lapsesAt }: CreditBatch, time: number): readonly [number, number] {
  const precision = 1_000;
  return [Math.floor(amount * precision) / precision, Math.floor(lapsesAt - time)];
}

/** Creates the call to the arbiter of a service's retries. */
export function createRetryCall(
  call: RetryCallArguments,
  supportsCall: (name: string) => boolean,
): ArbiterCall<RetryReply> {
  return {
    subject: call.service,
    message: { kind: RetryMessageKind.Call, ...call },
    isUndecided: ({ word }) => word === GrantDecision.Unknown,
    supportsCall,
    // Retries can't be granted twice, so that the next arbiter may be called early.
    sharesWait: true,
  };
}
