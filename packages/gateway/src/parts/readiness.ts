/**
 * Decides whether an instance can serve.
 * @module
 */
import type { GatewayParts } from "./gatewayPartTypes.js";

/**
 * Whether an instance has what it needs to serve: a configuration with a fresh proof, the endpoints, and the
 * gateway's own items, which say what requests must not run.
 */
export function canServe({
  follower,
  directory,
  members,
}: Pick<GatewayParts, "follower" | "directory" | "members">): boolean {
  return follower.hasFreshProof() && directory.isListed && members.isListed;
}
