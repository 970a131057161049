/**
 * The table that `gladewall local` starts with: the skip yards' rows, keys included.
 * @module
 */
import { ServiceKind } from "@gladewall/coordination";
import { type Configuration, getKeyHash, RepeatRule, type PolicyRow, wildcard } from "@gladewall/policy";

/** Keys of the sample workspaces; only for `local`. */
export const sampleKeys = { dispatch: "local-dispatch-key", cab: "local-cab-key" } as const;

const urgentPriority = 9;
const standardPriority = 5;

function createRow(changes: Partial<PolicyRow>): PolicyRow {
  return {
    workspace: wildcard,
    service: wildcard,
    class: wildcard,
    weight: 1,
    priority: standardPriority,
    requestsPerSecond: 100,
    tokensPerSecond: 200_000,
    concurrency: 200,
    latencyTarget: 1_300,
    repeat: RepeatRule.Allowed,
    ...changes,
  };
}

/** The sample configuration. */
export const sampleConfiguration: Configuration = {
  version: 1,
  rows: [
    createRow({ workspace: "cab", service: "model", class: "urgent", priority: urgentPriority, weight: 4 }),
    createRow({ workspace: "cab", service: "model", class: "standard", weight: 2 }),
    createRow({ workspace: "dispatch", service: "model", class: wildcard }),
    createRow({ service: "booking", class: wildcard, latencyTarget: 500 }),
  ],
  workspaces: Object.entries(sampleKeys).map(([name, key]) => ({ name, keyHashes: [getKeyHash(key)] })),
  services: [
    { name: "model", kind: ServiceKind.Model, never: [] },
    { name: "booking", kind: ServiceKind.Web, never: [{ method: "POST", pathPrefix: "/bookings" }] },
  ],
  edits: [],
};
