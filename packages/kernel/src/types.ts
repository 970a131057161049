/**
 * Data shapes shared by every package: outcomes, request classes, and the plug-in contract.
 * @module
 */

/** What a caller may conclude about a request that got no whole answer. */
export enum Outcome {
  /** No byte of the request reached an endpoint, or the endpoint's own word says it never started. */
  NotRun = 1,
  /** It may or may not have run. */
  Unknown = 2,
  /** It ran. */
  Ran = 3,
}

/** Names of outcomes as callers read them in `Gladewall-Outcome`. */
export const outcomeNames: Readonly<Record<Outcome, string>> = {
  [Outcome.NotRun]: "not-run",
  [Outcome.Unknown]: "unknown",
  [Outcome.Ran]: "ran",
};

/** Kinds of plug-in; each kind names one outside system. */
export enum PluginKind {
  KeyValue = 1,
  InstanceList = 2,
  Cloud = 3,
  WeightStore = 4,
  Endpoint = 5,
  Platform = 6,
}

/** Names of plug-in kinds, as settings and messages give them. */
export const pluginKindNames: Readonly<Record<PluginKind, string>> = {
  [PluginKind.KeyValue]: "key-value",
  [PluginKind.InstanceList]: "instance-list",
  [PluginKind.Cloud]: "cloud",
  [PluginKind.WeightStore]: "weight-store",
  [PluginKind.Endpoint]: "endpoint",
  [PluginKind.Platform]: "platform",
};

/** Something that holds sockets or timers and must be closed once. */
export interface Closeable {
  /** Ends every task of the object; resolves when none is left. */
  close(): Promise<void>;
}
