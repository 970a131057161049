/**
 * Exchanges crash updates among instances, and calls the arbiter of a service to learn at which endpoint an isolated request may
 * run. Updates are sent at once; in a large fleet the readers relay to all instances what is new to them.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { CrashRecords } from "./crashRecords.js";
import type { CrashUpdate } from "./crashUpdates.js";
import { FleetBroadcast, type FleetTopology } from "../fleet/fleetBroadcast.js";
import {
  type TrialReply,
  type TrialScheduler,
  type TrialCallArguments,
  TrialDecision,
} from "./trialScheduler.js";

/** Numbers of the messages; they follow that of proof requests. */
enum CrashMessageKind {
  Updates = 41,
  TrialCall = 42,
  TrialEnd = 43,
}

interface UpdateMessage extends PeerMessage, CrashUpdate {
  readonly kind: CrashMessageKind.Updates;
}

interface TrialCall extends PeerMessage, TrialCallArguments {
  readonly kind: CrashMessageKind.TrialCall;
}

interface TrialEndMessage extends PeerMessage {
  readonly kind: CrashMessageKind.TrialEnd;
  readonly life: string;
  readonly fingerprint: string;
}

/** The fleet as the exchange needs it. */
export interface CrashFleet extends FleetTopology {
  /** Name of the reader that decides on a service, which may be this instance; undefined if none can be reached. */
  findArbiter(subject: string): string | undefined;
}

/** Options of the exchange. */
export interface CrashGossipOptions {
  readonly ownName: string;
  readonly fleet: CrashFleet;
  readonly records: CrashRecords;
  readonly scheduler: TrialScheduler;
  /** Called with each update that contained something new. */
  readonly onUpdate: (update: CrashUpdate) => void;
}

/** Added to the wait of a trial call, for the transmission to the arbiter and back. */
const replyMarginMs = 150;

/** Exchanges crash updates and requests trials. */
export class CrashGossip {
  private readonly broadcaster: FleetBroadcast;

  private constructor(private readonly options: CrashGossipOptions) {
    this.broadcaster = FleetBroadcast.create(options.fleet);
    const { links } = options.fleet;
    links.setHandler(CrashMessageKind.Updates, (message, peer) => this.handleUpdate(message, peer));
    links.setHandler(CrashMessageKind.TrialCall, (message) => this.handleTrialCall(message as TrialCall));
    links.setHandler(CrashMessageKind.TrialEnd, (message) => {
      const { life: incarnation, fingerprint } = message as TrialEndMessage;
      options.scheduler.end(incarnation, fingerprint);
    });
    links.onLinkUp((peer) => this.sendToNewPeer(peer));
  }

  static create(options: CrashGossipOptions): CrashGossip {
    return new CrashGossip(options);
  }

  /** Sends an update to all peers, or in a large fleet to the readers. */
  broadcast(update: CrashUpdate): void {
    this.broadcaster.broadcast(createMessage(update));
  }

  /**
   * Requests a trial from the arbiter of the service. The reply is `Unknown` if the arbiter does not reply, because it is not
   * known then where other isolated requests run.
   */
  async callArbiter(request: TrialCallArguments): Promise<TrialReply> {
    const { ownName, fleet, scheduler } = this.options;
    const arbiter = fleet.findArbiter(request.service);
    if (arbiter === ownName) return scheduler.decideOrWait(request);
    if (arbiter === undefined) return { word: TrialDecision.Unknown };
    const message: TrialCall = { kind: CrashMessageKind.TrialCall, ...request };
    const reply = await fleet.links.call(arbiter, message, request.waitMs + replyMarginMs);
    return reply.isOk() ? (reply.value as TrialReply) : { word: TrialDecision.Unknown };
  }

  /** Notifies the arbiter that a trial is over, or has lasted long enough. */
  endTrial(service: string, incarnation: string, fingerprint: string): void {
    const { ownName, fleet, scheduler } = this.options;
    const arbiter = fleet.findArbiter(service);
    const message: TrialEndMessage = { kind: CrashMessageKind.TrialEnd, life: incarnation, fingerprint };
    if (arbiter === ownName) scheduler.end(incarnation, fingerprint);
    else if (arbiter !== undefined) fleet.links.send(arbiter, message);
  }

  private handleUpdate(message: UpdateMessage, { name }: PeerIdentity): void {
    const { records, onUpdate } = this.options;
    const { reports, acquittals, refuted, parts } = message;
    const update: CrashUpdate = {
      ...(reports && { reports }),
      ...(acquittals && { acquittals }),
      ...(refuted && { refuted }),
      ...(parts && { parts }),
    };
    if (!records.apply(update)) return;
    onUpdate(update);
    this.broadcaster.relay(createMessage(update), name);
  }

  /** Decides for a peer; replies `Unknown` if this instance does not receive the reports of the whole fleet. */
  private handleTrialCall({
    service,
    subject,
    parts,
    heldParts,
    excluded,
    waitMs,
  }: TrialCall): Promise<TrialReply> | TrialReply {
    const { fleet, scheduler } = this.options;
    if (!fleet.isCollector) return { word: TrialDecision.Unknown };
    return scheduler.decideOrWait({
      service,
      subject,
      ...(parts && { parts }),
      ...(heldParts && { heldParts }),
      excluded,
      waitMs,
    });
  }

  private sendToNewPeer({ name }: PeerIdentity): void {
    const update = this.options.records.createSnapshot();
    if (update.reports?.length === 0 && !update.parts) return;
    this.options.fleet.links.send(name, createMessage(update));
  }
}

function createMessage(update: CrashUpdate): UpdateMessage {
  return { kind: CrashMessageKind.Updates, ...update };
}
