/**
 * How the operators' configuration is read, written and compared.
 * @module
 */
import type { DocumentCodec } from "@gladewall/coordination";
import { type Configuration, decodeConfiguration, encodeConfiguration } from "@gladewall/policy";

/** Codec of the configuration document. */
export const configurationCodec: DocumentCodec<Configuration> = {
  encode: encodeConfiguration,
  decode: decodeConfiguration,
  getVersion: (configuration) => configuration.version,
};

/** Key of the configuration, after the system's prefix. */
export const configurationKey = "configuration";
