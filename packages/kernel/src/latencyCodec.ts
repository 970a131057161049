/**
 * Encodes latency histograms in the compressed HDR format, so that those of several processes can be added up. Separate
 * from the metrics, so that the compression code is not loaded at startup.
 * @module
 */
import { decodeFromCompressedBase64, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import type { LatencyHistogram } from "./metrics.js";

/** Returns a histogram in the compressed HDR format, as base64. */
export function encodeLatency({ histogram }: LatencyHistogram): string {
  return encodeIntoCompressedBase64(histogram);
}

/** Adds a histogram that `encodeLatency` returned. */
export function addEncodedLatency(latency: LatencyHistogram, encoded: string): void {
  latency.add(decodeFromCompressedBase64(encoded));
}
