/**
 * Codec and key of the operators' configuration in the key-value service.
 * @module
 */
import type { DocumentCodec } from "@gladewall/coordination";
import { type Configuration, decodeConfiguration, encodeConfiguration } from "@gladewall/policy";

/** Encodes and decodes the configuration document and reads its version. */
export const configurationCodec: DocumentCodec<Configuration> = {
  encode: encodeConfiguration,
  decode: decodeConfiguration,
  getVersion: (configuration) => configuration.version,
};

/** Key of the configuration in the key-value service, without the prefix of `[platform] prefix`. */
export const configurationKey = "configuration";
