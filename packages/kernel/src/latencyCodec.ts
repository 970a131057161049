/**
 * Latencies in HDR's compressed form, so that several processes' can be added up. Apart from the metrics: what only
 * compresses is not read at a start.
 * @module
 */
import { decodeFromCompressedBase64, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import type { LatencyHistogram } from "./metrics.js";

/** Returns latencies in HDR's compressed form. */
export function encodeLatency({ histogram }: LatencyHistogram): string {
  return encodeIntoCompressedBase64(histogram);
}

/** Adds latencies that `encodeLatency` wrote. */
export function addEncodedLatency(latency: LatencyHistogram, encoded: string): void {
  latency.add(decodeFromCompressedBase64(encoded));
}
