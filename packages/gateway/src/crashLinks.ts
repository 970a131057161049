/**
 * What instances tell each other of endpoints that ended, and whom they ask where a suspect may run. Words are told at once;
 * in a large fleet the readers hand on to all what is new to them.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { CrashRecords, CrashWords } from "./crashRecords.js";
import { FleetWords, type WordFleet } from "./fleetWords.js";
import { type TrialAnswer, type TrialGrants, type TrialQuestion, TrialWord } from "./trialGrants.js";

/** Numbers of the messages; after that of vouching. */
enum CrashMessageKind {
  Words = 41,
  TrialAsk = 42,
  TrialEnd = 43,
}

interface WordsMessage extends PeerMessage, CrashWords {
  readonly kind: CrashMessageKind.Words;
}

interface TrialAskMessage extends PeerMessage, TrialQuestion {
  readonly kind: CrashMessageKind.TrialAsk;
}

interface TrialEndMessage extends PeerMessage {
  readonly kind: CrashMessageKind.TrialEnd;
  readonly life: string;
  readonly fingerprint: string;
}

/** The fleet, as far as words and questions need it. */
export interface CrashFleet extends WordFleet {
  /** Name of the reader that decides on a service, this instance perhaps; undefined where none can be asked. */
  findArbiter(subject: string): string | undefined;
}

/** Options of the links. */
export interface CrashLinksOptions {
  readonly own: string;
  readonly fleet: CrashFleet;
  readonly records: CrashRecords;
  readonly grants: TrialGrants;
  /** Called with each word that told something new. */
  readonly onWords: (words: CrashWords) => void;
}

/** Time beyond the wait that was asked for: the way to the arbiter and back. */
const answerMarginMs = 150;

/** Tells and asks. */
export class CrashLinks {
  private readonly words: FleetWords;

  private constructor(private readonly options: CrashLinksOptions) {
    this.words = FleetWords.create(options.fleet);
    const { links } = options.fleet;
    links.setHandler(CrashMessageKind.Words, (message, peer) => this.take(message, peer));
    links.setHandler(CrashMessageKind.TrialAsk, (message) => this.answer(message as TrialAskMessage));
    links.setHandler(CrashMessageKind.TrialEnd, (message) => {
      const { life, fingerprint } = message as TrialEndMessage;
      options.grants.end(life, fingerprint);
    });
    links.onUp((peer) => this.tellNewcomer(peer));
  }

  static create(options: CrashLinksOptions): CrashLinks {
    return new CrashLinks(options);
  }

  /** Tells all peers, or in a large fleet the readers. */
  tell(words: CrashWords): void {
    this.words.tell(createMessage(words));
  }

  /** Asks the arbiter of the service; where none answers, nobody knows where other suspects run. */
  async ask(question: TrialQuestion): Promise<TrialAnswer> {
    const { own, fleet, grants } = this.options;
    const arbiter = fleet.findArbiter(question.service);
    if (arbiter === own) return grants.ask(question);
    if (arbiter === undefined) return { word: TrialWord.Unknown };
    const message: TrialAskMessage = { kind: CrashMessageKind.TrialAsk, ...question };
    const answer = await fleet.links.call(arbiter, message, question.waitMs + answerMarginMs);
    return answer.isOk() ? (answer.value as TrialAnswer) : { word: TrialWord.Unknown };
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
    const { records, onWords } = this.options;
    const { reports, acquittals, refuted } = message;
    const words: CrashWords = {
      ...(reports && { reports }),
      ...(acquittals && { acquittals }),
      ...(refuted && { refuted }),
    };
    if (!records.take(words)) return;
    onWords(words);
    this.words.relay(createMessage(words), name);
  }

  /** One that does not hear the whole fleet knows too little to decide. */
  private answer({
    service,
    subject,
    excluded,
    waitMs,
  }: TrialAskMessage): Promise<TrialAnswer> | TrialAnswer {
    const { fleet, grants } = this.options;
    if (!fleet.isCollector) return { word: TrialWord.Unknown };
    return grants.ask({ service, subject, excluded, waitMs });
  }

  private tellNewcomer({ name }: PeerIdentity): void {
    const words = this.options.records.createWords();
    if (words.reports?.length === 0) return;
    this.options.fleet.links.send(name, createMessage(words));
  }
}

function createMessage(words: CrashWords): WordsMessage {
  return { kind: CrashMessageKind.Words, ...words };
}
