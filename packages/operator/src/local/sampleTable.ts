/**
 * The sample configuration of `gladewall local`: policy rows, workspaces with their keys, and services.
 * @module
 */
import { ServiceKind } from "@gladewall/coordination";
import { type Configuration, getKeyHash, RepeatRule, type PolicyRow, wildcard } from "@gladewall/policy";

/** API keys of the sample workspaces, by workspace. They are public and used only in local fleets. */
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

/** Configuration of a local fleet unless a test gives its own. */
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
