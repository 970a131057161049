/**
 * Replicates the store's content from readers to the other instances: the configuration with its freshness
 * proof, the endpoints and the members. Only readers call the store, so that the number of calls does not grow
 * with the number of instances times the number of changes.
 * @module
 */
import { type ConfigurationFollower, StoreRole } from "../configuration/configurationFollower.js";
import type { ConfigurationProof } from "../configuration/configurationInForce.js";
import type { PrefixChanges, PrefixFollower } from "./prefixFollower.js";
import { type StoreEras, initialEra } from "./storeEras.js";

/** State of an instance's copy, sent to a reader to request what is missing. */
export interface FeedState {
  /** Revision of the newest configuration that the sender has; 0 before the first. */
  readonly configuration: number;
  /** Its version, and the era of all revisions in this message; earlier builds leave both out. */
  readonly version?: number;
  readonly era?: number;
  /** Revision up to which each prefix is known; a prefix is left out before its first listing. */
  readonly prefixes: Readonly<Record<string, number>>;
}

/** A reader's reply: the content that the requester lacks. */
export interface FeedMessage {
  /** Left out if the sender has no fresh proof. */
  readonly vouch?: ConfigurationProof | undefined;
  /** Newest era that the sender knows; earlier builds leave it out. */
  readonly era?: number;
  /** Milliseconds since the sender sent the last read that the store answered. */
  readonly storeAgeMs: number;
  /** Milliseconds since a call of the sender to the store last failed. */
  readonly troubleAgeMs: number;
  readonly prefixes: Readonly<Record<string, PrefixChanges>>;
}

/**
 * Larger configurations are not sent to the many instances that a reader feeds, because the reader's network
 * link may be narrow while the store's is not. A peer that requests a proof because the store refuses it gets
 * larger ones too.
 */
const maxConfigurationBytes = 32_768;
/** Sent instead of infinity if no call ever failed, because not every codec can represent infinity. */
const noTroubleMs = 1_000_000_000;

/** Creates feed messages, and applies those of readers. */
export class FeedReplication {
  private constructor(
    private readonly eras: StoreEras,
    private readonly configuration: ConfigurationFollower,
    private readonly followers: Readonly<Record<string, PrefixFollower>>,
    private readonly maxStoreAgeMs: number,
  ) {}

  /** `maxStoreAgeMs`: messages of a sender whose last answered read is older are discarded. */
  static create(
    eras: StoreEras,
    configuration: ConfigurationFollower,
    followers: Readonly<Record<string, PrefixFollower>>,
    maxStoreAgeMs: number,
  ): FeedReplication {
    return new FeedReplication(eras, configuration, followers, maxStoreAgeMs);
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
    // The store may have served the requester more recently than this instance.
    this.eras.advanceTo(state.era ?? initialEra);
    // An earlier build sends no era: its revisions are taken for those of the current era, as the earlier build
    // does with the revisions that it receives.
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

  /**
   * Applies the reply to a report that was sent at a boot time; returns whether the store serves the sender.
   */
  apply(message: FeedMessage, calledAt: number): boolean {
    const { vouch, era = initialEra, storeAgeMs, troubleAgeMs, prefixes } = message;
    if (storeAgeMs > this.maxStoreAgeMs) return false;
    this.eras.advanceTo(era);
    if (vouch) this.configuration.applyProof(vouch, calledAt);
    // Revisions of an era that has ended, or of an earlier build without eras, are not comparable with
    // those of this instance.
    if (era < this.eras.current) return false;
    for (const [prefix, changes] of Object.entries(prefixes)) {
      this.followers[prefix]?.applyChanges({ ageMs: storeAgeMs, ...changes }, troubleAgeMs, calledAt);
    }
    return true;
  }

  /**
   * Sets how this instance obtains the store's content. While the store does not answer, the followers stay
   * passive.
   */
  setRole(role: StoreRole): void {
    this.configuration.setRole(role);
    const isPassive = role === StoreRole.ViaReader || this.configuration.isStoreLost;
    for (const follower of Object.values(this.followers)) follower.setPassive(isPassive);
  }
}
