/**
 * What the platform's store holds, handed on by its readers: the configuration with the age of its proof, endpoints,
 * members. Only the readers ask the store, so its calls do not grow with instances times changes.
 * @module
 */
import { type ConfigurationFollower, StoreRole, type ConfigurationProof } from "./configurationFollower.js";
import type { PrefixChanges, PrefixFollower } from "./prefixFollower.js";
import { type StoreEras, initialEra } from "./storeEras.js";

/** What an instance knows already, for the one that it asks. */
export interface FeedState {
  /** Revision of the configuration that is held; 0 before the first. */
  readonly configuration: number;
  /** Its version, and the era of all revisions here; earlier builds leave both out. */
  readonly version?: number;
  readonly era?: number;
  /** Revision up to which each prefix is known; left out before its first listing. */
  readonly prefixes: Readonly<Record<string, number>>;
}

/** What an instance has yet to know. */
export interface FeedMessage {
  /** Left out where the teller has no proof. */
  readonly vouch?: ConfigurationProof | undefined;
  /** Newest era that the teller knows of; earlier builds leave it out. */
  readonly era?: number;
  /** Milliseconds since the teller sent a read that the store answered. */
  readonly storeAgeMs: number;
  /** Milliseconds since a call of the teller last failed. */
  readonly troubleAgeMs: number;
  readonly prefixes: Readonly<Record<string, PrefixChanges>>;
}

/**
 * Larger configurations are not handed on to the many instances that a reader feeds: its link may be narrow, the
 * store's is not. Who asks for a peer's word because the store turns it away gets them all the same.
 */
const maxConfigurationBytes = 32_768;
/** Stands for no trouble ever: infinity has no place in every codec. */
const noTroubleMs = 1_000_000_000;

/** Hands on, and takes what was handed on. */
export class FeedReplication {
  private constructor(
    private readonly eras: StoreEras,
    private readonly configuration: ConfigurationFollower,
    private readonly followers: Readonly<Record<string, PrefixFollower>>,
    private readonly longestStoreAgeMs: number,
  ) {}

  /** `longestStoreAgeMs`: a teller whose store has been silent for longer is not believed. */
  static create(
    eras: StoreEras,
    configuration: ConfigurationFollower,
    followers: Readonly<Record<string, PrefixFollower>>,
    longestStoreAgeMs: number,
  ): FeedReplication {
    return new FeedReplication(eras, configuration, followers, longestStoreAgeMs);
  }

  getState(): FeedState {
    const prefixes: Record<string, number> = {};
    for (const [prefix, follower] of Object.entries(this.followers)) {
      const position = follower.getPosition();
      if (position) prefixes[prefix] = position.revision;
    }
    const { revision, version } = this.configuration.getHeld();
    const held = { configuration: revision, ...(version === undefined ? {} : { version }) };
    return { ...held, era: this.eras.current, prefixes };
  }

  createMessage(state: FeedState): FeedMessage {
    // Whoever asks may have been served by the store later than this instance.
    this.eras.advanceTo(state.era ?? initialEra);
    // An earlier build names no era: its numbers are taken for those of the present one, as it takes them itself.
    const { era = this.eras.current, configuration: revision, version } = state;
    const prefixes: Record<string, PrefixChanges> = {};
    for (const [prefix, follower] of Object.entries(this.followers)) {
      const since = state.prefixes[prefix];
      const changes = follower.getChanges(since === undefined ? undefined : { era, revision: since });
      if (changes) prefixes[prefix] = changes;
    }
    const { configuration } = this;
    return {
      vouch: configuration.createProof({ revision, version }, maxConfigurationBytes),
      era: this.eras.current,
      storeAgeMs: Math.min(noTroubleMs, configuration.getStoreAge()),
      troubleAgeMs: Math.min(noTroubleMs, configuration.getTimeSinceTrouble()),
      prefixes,
    };
  }

  /** Takes what was told in answer to a question asked at a time; returns whether the teller is served by the store. */
  apply(message: FeedMessage, askedAt: number): boolean {
    const { vouch, era = initialEra, storeAgeMs, troubleAgeMs, prefixes } = message;
    if (storeAgeMs > this.longestStoreAgeMs) return false;
    this.eras.advanceTo(era);
    if (vouch) this.configuration.applyProof(vouch, askedAt);
    // Of an era that is over, or of an earlier build that knows of none, its numbers are no order here.
    if (era < this.eras.current) return false;
    for (const [prefix, changes] of Object.entries(prefixes)) {
      this.followers[prefix]?.applyChanges(changes, troubleAgeMs);
    }
    return true;
  }

  /** Says how this instance comes by what the store holds; while the store is lost, nothing is to be had from it. */
  setRole(role: StoreRole): void {
    this.configuration.setRole(role);
    const isPassive = role === StoreRole.ViaReader || this.configuration.isStoreLost;
    for (const follower of Object.values(this.followers)) follower.setPassive(isPassive);
  }
}
