/**
 * Creates followers of the configuration and of prefixes on a virtual clock, with the settings of a small
 * fleet.
 * @module
 */
import {
  ConfigurationFollower,
  EraSettling,
  type MetadataStore,
  type PlatformAdapter,
  PrefixFollower,
  RemovalCause,
} from "@gladewall/gateway";
import { type Clock, Logger, type VirtualClock } from "@gladewall/kernel";

type FollowerOptions = Parameters<typeof ConfigurationFollower.create>[0];

/** Creates the settling of the first instance of a system, which writes no record of settled eras. */
export function createSettling(store: MetadataStore, clock: Clock, isFirstStart = true): EraSettling {
  return EraSettling.create({
    store,
    clock,
    logger: Logger.createSilent(),
    isFirstStart,
    isWriter: () => false,
    getTimeOfDay: () => clock.getWallTime(),
  });
}

/** Creates a follower that has no peers to call; `options` override the defaults. */
export function createConfigurationFollower(
  platform: PlatformAdapter,
  clock: VirtualClock,
  options: Partial<FollowerOptions> = {},
): ConfigurationFollower {
  return ConfigurationFollower.create({
    platform,
    clock,
    logger: Logger.createSilent(),
    proofIntervalMs: 1_500,
    readerIntervalMs: 600,
    proofLifetimeMs: 4_600,
    requestProofs: async () => [],
    settling: options.settling ?? createSettling(platform.store, clock),
    ...options,
  });
}

/** A follower that is not started, with the listed keys and those that a restore of the store lost. */
export interface FollowedPrefix {
  readonly follower: PrefixFollower;
  readonly present: ReadonlySet<string>;
  readonly lost: readonly string[];
}

/** Creates a follower of a prefix that records which keys are listed. */
export function followPrefix(
  store: MetadataStore,
  prefix: string,
  clock: VirtualClock,
  options: { readonly watchWaitMs?: number } = {},
): FollowedPrefix {
  const present = new Set<string>();
  const lost: string[] = [];
  const follower = PrefixFollower.create({
    store,
    prefix,
    clock,
    logger: Logger.createSilent(),
    listener: {
      handlePut: ({ key }) => void present.add(key),
      handleRemoved: (key, { cause }) => {
        present.delete(key);
        if (cause === RemovalCause.Lost) lost.push(key);
      },
    },
    ...options,
  });
  return { follower, present, lost };
}
