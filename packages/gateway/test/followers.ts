/**
 * Followers of the configuration on a virtual clock, with the times of a small fleet.
 * @module
 */
import { ConfigurationFollower, type PlatformAdapter } from "@gladewall/gateway";
import { Logger, type VirtualClock } from "@gladewall/kernel";

type FollowerOptions = Parameters<typeof ConfigurationFollower.create>[0];

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
    ...options,
  });
}
