/**
 * What the platform's store holds, handed on by its readers: the configuration with the age of its proof, endpoints,
 * members. Only the readers ask the store, so its calls do not grow with instances times changes.
 * @module
 */
import { type ConfigurationFollower, StoreRole, type Vouch } from "./configurationFollower.js";
import type { PrefixChanges, PrefixFollower } from "./prefixFollower.js";

/** What an instance knows already, for the one that it asks. */
export interface FeedState {
  /** Revision of the configuration that is held; 0 before the first. */
  readonly configuration: number;
  /** Revision up to which each prefix is known; left out before its first listing. */
  readonly prefixes: Readonly<Record<string, number>>;
}

/** What an instance has yet to know. */
export interface FeedMessage {
  /** Left out where the teller has no proof. */
  readonly vouch?: Vouch | undefined;
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
const largestPassedBytes = 32_768;
/** Stands for no trouble ever: infinity has no place in every codec. */
const noTroubleMs = 1_000_000_000;

/** Hands on, and takes what was handed on. */
export class FleetFeed {
  private constructor(
    private readonly configuration: ConfigurationFollower,
    private readonly followers: Readonly<Record<string, PrefixFollower>>,
    private readonly longestStoreAgeMs: number,
  ) {}

  /** `longestStoreAgeMs`: a teller whose store has been silent for longer is not believed. */
  static create(
    configuration: ConfigurationFollower,
    followers: Readonly<Record<string, PrefixFollower>>,
    longestStoreAgeMs: number,
  ): FleetFeed {
    return new FleetFeed(configuration, followers, longestStoreAgeMs);
  }

  getState(): FeedState {
    const prefixes: Record<string, number> = {};
    for (const [prefix, follower] of Object.entries(this.followers)) {
      const revision = follower.getRevision();
      if (revision !== undefined) prefixes[prefix] = revision;
    }
    return { configuration: this.configuration.getRevision(), prefixes };
  }

  createMessage(state: FeedState): FeedMessage {
    const prefixes: Record<string, PrefixChanges> = {};
    for (const [prefix, follower] of Object.entries(this.followers)) {
      const changes = follower.getChanges(state.prefixes[prefix]);
      if (changes) prefixes[prefix] = changes;
    }
    const { configuration } = this;
    return {
      vouch: configuration.vouch(state.configuration, largestPassedBytes),
      storeAgeMs: Math.min(noTroubleMs, configuration.getStoreAge()),
      troubleAgeMs: Math.min(noTroubleMs, configuration.getTimeSinceTrouble()),
      prefixes,
    };
  }

  /** Takes what was told in answer to a question asked at a time; returns whether the teller is served by the store. */
  take({ vouch, storeAgeMs, troubleAgeMs, prefixes }: FeedMessage, askedAt: number): boolean {
    if (storeAgeMs > this.longestStoreAgeMs) return false;
    if (vouch) this.configuration.takeVouch(vouch, askedAt);
    for (const [prefix, changes] of Object.entries(prefixes)) {
      this.followers[prefix]?.takeChanges(changes, troubleAgeMs);
    }
    return true;
  }

  /** Says how this instance comes by what the store holds; while the store is lost, nothing is to be had from it. */
  setRole(role: StoreRole): void {
    this.configuration.setRole(role);
    const isPassive = role === StoreRole.Fed || this.configuration.isStoreLost;
    for (const follower of Object.values(this.followers)) follower.setPassive(isPassive);
  }
}
