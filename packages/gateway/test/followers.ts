/**
 * Followers of the configuration on a virtual clock, with the times of a small fleet.
 * @module
 */
import {
  ConfigurationFollower,
  EraSettling,
  type MetadataStore,
  type PlatformAdapter,
} from "@gladewall/gateway";
import { type Clock, Logger, type VirtualClock } from "@gladewall/kernel";

type FollowerOptions = Parameters<typeof ConfigurationFollower.create>[0];

/** Creates the settling of an instance that started first and writes no marks. */
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

/** Creates a follower that has no peers to ask; `options` replace the usual ones. */
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
    askPeers: async () => [],
    settling: options.settling ?? createSettling(platform.store, clock),
    ...options,
  });
}
