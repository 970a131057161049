/**
 * Decides whether a request needs a slot of its service, and obtains one from the service's arbiter. While the mode is `observe`, the
 * decisions of arbiters are logged and have no effect.
 * @module
 */
import type { Clock, Logger, Timer } from "@gladewall/kernel";
import { SlotRefusal } from "@gladewall/policy";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import { HeldSlot } from "./heldSlot.js";
import type { OpenSlots } from "./openSlots.js";
import { OverloadMode, type OverloadSwitch } from "../overloadSwitch.js";
import { SlotResult, type SlotAnswer, SlotAcquisition, type SlotRequestInput } from "./slotAcquisition.js";
import type { SlotContention } from "./slotContention.js";
import { SlotReplyKind } from "./slotMessages.js";
import type { DecidedReply, SlotTransport } from "./slotTransport.js";
import type { Service } from "../types.js";

/** Options of the client. */
export interface SlotClientOptions {
  readonly ownName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, "countSlotDecision" | "recordSlotWait">;
  readonly transport: SlotTransport;
  readonly open: OpenSlots;
  readonly contention: SlotContention;
  readonly directory: Pick<EndpointDirectory, "getOfService">;
  readonly overload: Pick<OverloadSwitch, "mode">;
  /** Longest wait, as a multiple of the route's objective. */
  readonly maxWaitFactor: number;
}

/** A decision that is only logged; `end` is to be called when the request's attempt has ended. */
export interface ObservedSlot {
  readonly end: () => void;
}

/** The place of an attempt that is sent without a grant. */
export interface UngrantedSlot {
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  readonly deadlineAt: number;
  /** Tokens of an engine's memory that the request may take. */
  readonly tokens: number;
}

/** Assumed time of an attempt at endpoints that have not responded yet. */
const unknownLatencyMs = 50;

/** Obtains slots for the requests of this instance. */
export class SlotClient {
  private nextId = 1;
  private waitingCount = 0;
  /** Releases each request that has called an arbiter and has no decision yet. */
  private readonly releases = new Set<() => void>();

  private constructor(private readonly options: SlotClientOptions) {}

  static create(options: SlotClientOptions): SlotClient {
    return new SlotClient(options);
  }

  /** Requests of this instance that wait for a slot. */
  get waiting(): number {
    return this.waitingCount;
  }

  /** Whether a request of the service needs a slot now. */
  isNeeded(service: Service): boolean {
    const { overload, contention } = this.options;
    return overload.mode === OverloadMode.On && contention.isContended(service);
  }

  /** Whether a decision on a request of the service is to be logged now. */
  isObserved(service: Service): boolean {
    const { overload, contention } = this.options;
    return overload.mode === OverloadMode.Observe && contention.isContended(service);
  }

  /** Applies a changed mode: unless it is on, requests that wait are sent without a grant. */
  applyMode(): void {
    if (this.options.overload.mode === OverloadMode.On) return;
    for (const release of [...this.releases]) release();
  }

  /** Obtains a slot. Resolves at once when the signal is aborted; what was granted is then returned. */
  async acquire(input: SlotRequestInput, signal: AbortSignal): Promise<SlotAnswer> {
    if (signal.aborted) return { result: SlotResult.Abandoned };
    const { clock, maxWaitFactor } = this.options;
    const startedAt = clock.getTime();
    let timer: Timer | undefined;
    let isStopped = false;
    const answer = await new Promise<SlotAnswer>((resolve) => {
      const stop = (result: SlotResult): void => {
        isStopped = true;
        acquisition.abandon();
        resolve({ result });
      };
      const acquisition = this.createAcquisition(input, () => {
        this.waitingCount += 1;
        // Where requests wait again after their arbiter has ended, all their waits count.
        const waitedMs = input.isBrittle ? startedAt - input.arrivedAt : 0;
        const leftMs = Math.max(0, input.objectiveMs * maxWaitFactor - waitedMs);
        timer = clock.startTimer(leftMs, () => stop(SlotResult.Refused));
      });
      const handleAbort = (): void => stop(SlotResult.Abandoned);
      const release = (): void => stop(SlotResult.Direct);
      signal.addEventListener("abort", handleAbort, { once: true });
      this.releases.add(release);
      void acquisition.run().then((found) => {
        signal.removeEventListener("abort", handleAbort);
        this.releases.delete(release);
        // The grant may have been taken just before the stop.
        if (isStopped) found.slot?.end();
        resolve(found);
      });
    });
    if (timer) this.waitingCount -= 1;
    timer?.cancel();
    this.record(input, answer, clock.getTime() - startedAt, timer !== undefined);
    return answer;
  }

  /** Records the place of an attempt that is sent without a grant, for arbiters that ask what is sent to a service. */
  hold(service: Service, { endpoint, deadlineAt, tokens }: UngrantedSlot): HeldSlot {
    const { clock, open, transport: reporter } = this.options;
    const id = String(this.nextId++);
    const isHeldToEnd = service.engine !== undefined;
    const place = { service: service.name, id, endpoint, deadlineAt, tokens, isHeldToEnd };
    return HeldSlot.create({ clock, open, reporter, ...place });
  }

  /** Requests a slot and logs the decision; the request does not wait for it. */
  observe(input: SlotRequestInput): ObservedSlot {
    const acquisition = this.createAcquisition(input, () => undefined);
    let slot: HeldSlot | undefined;
    let hasEnded = false;
    void acquisition.runWithoutWaiting().then((reply) => {
      if (reply?.word === SlotReplyKind.Granted) slot = acquisition.createSlot(reply.arbiter, reply.endpoint);
      if (hasEnded) slot?.end();
      else slot?.recordSending();
      this.recordObserved(input, reply);
    });
    const end = (): void => {
      hasEnded = true;
      slot?.recordResponse(undefined);
      slot?.end();
    };
    return { end };
  }

  private createAcquisition(input: SlotRequestInput, onQueued: () => void): SlotAcquisition {
    const { clock, transport, open } = this.options;
    return SlotAcquisition.create(input, {
      clock,
      transport,
      open,
      createId: () => String(this.nextId++),
      expectedMs: this.getExpectedMs(input.service.name),
      onQueued,
    });
  }

  private getExpectedMs(service: string): number {
    let shortest = Infinity;
    for (const endpoint of this.options.directory.getOfService(service)) {
      if (endpoint.isUsable()) shortest = Math.min(shortest, endpoint.latencyMs ?? unknownLatencyMs);
    }
    return shortest === Infinity ? unknownLatencyMs : shortest;
  }

  private record(input: SlotRequestInput, answer: SlotAnswer, tookMs: number, hasWaited: boolean): void {
    const { logger, metrics } = this.options;
    const service = input.service.name;
    const { result, arbiter, slot, refusal, retryAfterMs } = answer;
    metrics.countSlotDecision(service, SlotResult[result], this.getDecider(arbiter));
    if (hasWaited) metrics.recordSlotWait(service, tookMs);
    const fields = { request: input.request, service, waitedMs: Math.round(tookMs), arbiter };
    if (result === SlotResult.Refused) {
      const cause = refusal === undefined ? "MaxWait" : SlotRefusal[refusal];
      logger.info("slot.refused", {
        ...fields,
        cause,
        retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
      });
    } else if (result === SlotResult.Direct) {
      logger.info("slot.direct", fields);
    } else if (result === SlotResult.Abandoned || !hasWaited) {
      logger.debug("slot.asked", { ...fields, result: SlotResult[result], life: slot?.endpoint });
    } else {
      logger.info("slot.granted", { ...fields, life: slot?.endpoint });
    }
  }

  private recordObserved(input: SlotRequestInput, reply: DecidedReply | undefined): void {
    const { logger, metrics } = this.options;
    const service = input.service.name;
    const outcome = reply ? SlotReplyKind[reply.word] : SlotResult[SlotResult.Direct];
    metrics.countSlotDecision(service, `observed-${outcome}`, this.getDecider(reply?.arbiter));
    logger.info("slot.observed", {
      request: input.request,
      service,
      word: outcome,
      arbiter: reply?.arbiter,
      waitMs: reply?.word === SlotReplyKind.Queued ? Math.round(reply.waitMs) : undefined,
      cause: reply?.word === SlotReplyKind.Refused ? SlotRefusal[reply.refusal] : undefined,
    });
  }

  private getDecider(arbiter: string | undefined): string {
    if (arbiter === undefined) return "none";
    return arbiter === this.options.ownName ? "own" : "remote";
  }
}
