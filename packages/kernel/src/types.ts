/**
 * Types shared by all packages: outcomes of requests, kinds of plug-in, and objects that must be closed.
 * @module
 */

/** What is known about the execution of a request that got no complete response. */
export enum Outcome {
  /** No byte of the request reached an endpoint, or the endpoint reported that it never started the request. */
  NotRun = 1,
  /** The request may or may not have run. */
  Unknown = 2,
  /** The request ran. */
  Ran = 3,
}

/** Names of the outcomes in the header `Gladewall-Outcome`. */
export const outcomeNames: Readonly<Record<Outcome, string>> = {
  [Outcome.NotRun]: "not-run",
  [Outcome.Unknown]: "unknown",
  [Outcome.Ran]: "ran",
};

/** Kinds of plug-in, one for each external system. */
export enum PluginKind {
  KeyValue = 1,
  InstanceList = 2,
  Cloud = 3,
  WeightStore = 4,
  Endpoint = 5,
  Platform = 6,
}

/** Names of the plug-in kinds in settings and messages. */
export const pluginKindNames: Readonly<Record<PluginKind, string>> = {
  [PluginKind.KeyValue]: "key-value",
  [PluginKind.InstanceList]: "instance-list",
  [PluginKind.Cloud]: "cloud",
  [PluginKind.WeightStore]: "weight-store",
  [PluginKind.Endpoint]: "endpoint",
  [PluginKind.Platform]: "platform",
};

/** An object that owns sockets or timers and must be closed once. */
export interface Closeable {
  /** Stops all tasks of the object; resolves when none is running. */
  close(): Promise<void>;
}
