/**
 * Plug-in registry. Plug-ins register themselves by kind and name; the settings select them by name.
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { Failure, FailureCode } from "./failures.js";
import { type PluginKind, pluginKindNames } from "./types.js";

/** A plug-in: a named factory for the interface to one external system. */
export interface Plugin<Options, Instance> {
  readonly kind: PluginKind;
  readonly name: string;
  readonly create: (options: Options) => Instance;
}

type AnyPlugin = Plugin<never, unknown>;

const pluginsByKind = new Map<PluginKind, Map<string, AnyPlugin>>();

/** Registers a plug-in, and replaces one of the same kind and name. Modules call it when they are loaded. */
export function registerPlugin<Options, Instance>(plugin: Plugin<Options, Instance>): void {
  const named = pluginsByKind.get(plugin.kind) ?? new Map<string, AnyPlugin>();
  pluginsByKind.set(plugin.kind, named);
  named.set(plugin.name, plugin);
}

/** Returns the registered names of a kind, sorted. */
export function getPluginNames(kind: PluginKind): readonly string[] {
  return [...(pluginsByKind.get(kind)?.keys() ?? [])].sort();
}

/** Creates an instance with the plug-in of this name; fails with `PluginUnknown`. */
export function createFromPlugin<Options, Instance>(
  kind: PluginKind,
  name: string,
  options: Options,
): Result<Instance, Failure> {
  const plugin = pluginsByKind.get(kind)?.get(name) as Plugin<Options, Instance> | undefined;
  if (plugin) return Ok(plugin.create(options));
  const known = getPluginNames(kind).join(", ") || "none";
  return Err(Failure.create(FailureCode.PluginUnknown, { kind: pluginKindNames[kind], name, known }));
}
