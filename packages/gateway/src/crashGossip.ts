/**
 * What instances tell each other of endpoints that ended, and whom they ask where a suspect may run. Words are told at once;
 * in a large fleet the readers hand on to all what is new to them.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { CrashRecords, CrashUpdate } from "./crashRecords.js";
import { FleetBroadcast, type FleetTopology } from "./fleetBroadcast.js";
import {
  type TrialReply,
  type TrialScheduler,
  type TrialCallArguments,
  TrialDecision,
} from "./trialScheduler.js";

/** Numbers of the messages; after that of vouching. */
enum CrashMessageKind {
  Words = 41,
  TrialCall = 42,
  TrialEnd = 43,
}

interface WordsMessage extends PeerMessage, CrashUpdate {
  readonly kind: CrashMessageKind.Words;
}

interface TrialCall extends PeerMessage, TrialCallArguments {
  readonly kind: CrashMessageKind.TrialCall;
}

interface TrialEndMessage extends PeerMessage {
  readonly kind: CrashMessageKind.TrialEnd;
  readonly life: string;
  readonly fingerprint: string;
}

/** The fleet, as far as words and questions need it. */
export interface CrashFleet extends FleetTopology {
  /** Name of the reader that decides on a service, this instance perhaps; undefined where none can be asked. */
  findArbiter(subject: string): string | undefined;
}

/** Options of the links. */
export interface CrashGossipOptions {
  readonly own: string;
  readonly fleet: CrashFleet;
  readonly records: CrashRecords;
  readonly grants: TrialScheduler;
  /** Called with each word that told something new. */
  readonly onUpdate: (words: CrashUpdate) => void;
}

/** Time beyond the wait that was asked for: the way to the arbiter and back. */
const answerMarginMs = 150;

/** Tells and asks. */
export class CrashGossip {
  private readonly words: FleetBroadcast;

  private constructor(private readonly options: CrashGossipOptions) {
    this.words = FleetBroadcast.create(options.fleet);
    const { links } = options.fleet;
    links.setHandler(CrashMessageKind.Words, (message, peer) => this.take(message, peer));
    links.setHandler(CrashMessageKind.TrialCall, (message) => this.answer(message as TrialCall));
    links.setHandler(CrashMessageKind.TrialEnd, (message) => {
      const { life, fingerprint } = message as TrialEndMessage;
      options.grants.end(life, fingerprint);
    });
    links.onLinkUp((peer) => this.sendToNewPeer(peer));
  }

  static create(options: CrashGossipOptions): CrashGossip {
    return new CrashGossip(options);
  }

  /** Tells all peers, or in a large fleet the readers. */
  broadcast(words: CrashUpdate): void {
    this.words.broadcast(createMessage(words));
  }

  /** Asks the arbiter of the service; where none answers, nobody knows where other suspects run. */
  async callArbiter(question: TrialCallArguments): Promise<TrialReply> {
    const { own, fleet, grants } = this.options;
    const arbiter = fleet.findArbiter(question.service);
    if (arbiter === own) return grants.decideOrWait(question);
    if (arbiter === undefined) return { word: TrialDecision.Unknown };
    const message: TrialCall = { kind: CrashMessageKind.TrialCall, ...question };
    const answer = await fleet.links.call(arbiter, message, question.waitMs + answerMarginMs);
    return answer.isOk() ? (answer.value as TrialReply) : { word: TrialDecision.Unknown };
  }

  /** Tells the arbiter that a suspect's run is over, or has lasted long enough. */
  endTrial(service: string, life: string, fingerprint: string): void {
    const { own, fleet, grants } = this.options;
    const arbiter = fleet.findArbiter(service);
    const message: TrialEndMessage = { kind: CrashMessageKind.TrialEnd, life, fingerprint };
    if (arbiter === own) grants.end(life, fingerprint);
    else if (arbiter !== undefined) fleet.links.send(arbiter, message);
  }

  private take(message: WordsMessage, { name }: PeerIdentity): void {
    const { records, onUpdate: onWords } = this.options;
    const { reports, acquittals, refuted } = message;
    const words: CrashUpdate = {
      ...(reports && { reports }),
      ...(acquittals && { acquittals }),
      ...(refuted && { refuted }),
    };
    if (!records.apply(words)) return;
    onWords(words);
    this.words.relay(createMessage(words), name);
  }

  /** One that does not hear the whole fleet knows too little to decide. */
  private answer({ service, subject, excluded, waitMs }: TrialCall): Promise<TrialReply> | TrialReply {
    const { fleet, grants } = this.options;
    if (!fleet.isCollector) return { word: TrialDecision.Unknown };
    return grants.decideOrWait({ service, subject, excluded, waitMs });
  }

  private sendToNewPeer({ name }: PeerIdentity): void {
    const words = this.options.records.createSnapshot();
    if (words.reports?.length === 0) return;
    this.options.fleet.links.send(name, createMessage(words));
  }
}

function createMessage(words: CrashUpdate): WordsMessage {
  return { kind: CrashMessageKind.Words, ...words };
}
