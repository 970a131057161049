/**
 * A slot that an arbiter has granted to one attempt, until the attempt has ended or the slot is returned unused. The arbiter is told
 * exactly once.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { SlotEndReport } from "./slotMessages.js";
import type { EndpointLoad } from "../types.js";

/** Options of a held slot. */
export interface HeldSlotOptions {
  readonly clock: Clock;
  readonly service: string;
  /** Identifies the grant at its arbiter. */
  readonly id: string;
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  /** Instance that granted it. */
  readonly arbiter: string;
  /** Sends the end to the arbiter. */
  readonly report: (end: SlotEndReport) => void;
}

/** A granted slot. */
export class HeldSlot {
  private isEnded = false;
  private sentAt: number | undefined;
  private tookMs: number | undefined;
  private load: EndpointLoad | undefined;
  private isRejected = false;

  private constructor(private readonly options: HeldSlotOptions) {}

  static create(options: HeldSlotOptions): HeldSlot {
    return new HeldSlot(options);
  }

  get endpoint(): string {
    return this.options.endpoint;
  }

  get arbiter(): string {
    return this.options.arbiter;
  }

  /** Records that the request is sent now. */
  recordSending(): void {
    this.sentAt = this.options.clock.getTime();
  }

  /** Records a response of the endpoint and the load that it reports. */
  recordResponse(load: EndpointLoad | undefined): void {
    if (this.sentAt !== undefined) this.tookMs = this.options.clock.getTime() - this.sentAt;
    this.load = load;
  }

  /** Records that the endpoint did not take the request. */
  recordRejection(): void {
    this.isRejected = true;
    this.tookMs = undefined;
  }

  /** Ends the grant: it is cancelled if the request was not sent with it. */
  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    const { service, id, report } = this.options;
    const { isRejected, tookMs, load } = this;
    report({ service, id, isCancelled: this.sentAt === undefined, isRejected, tookMs, load });
  }
}
