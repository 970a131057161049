/**
 * Logs and counts what an instance sees of the store's eras.
 * @module
 */
import type { Logger } from "@gladewall/kernel";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { EraSource, DiscardCause, type StoreEras } from "./storeEras.js";

/** Answers passed over in one era of which each has a line; the others are counted. */
const maxLoggedResponses = 20;

/** Says when a new era is seen, and which answers are passed over. */
export function reportEras(eras: StoreEras, logger: Logger, metrics: GatewayMetrics): void {
  let lines = 0;
  eras.onEraChange(({ from, to, source, revisionBefore }) => {
    lines = 0;
    logger.warn("store.era", { from, to, source: EraSource[source], revisionBefore });
  });
  eras.onDiscarded(({ cause, era, unreadable }) => {
    metrics.countDiscardedResponse(DiscardCause[cause]);
    lines += 1;
    if (lines > maxLoggedResponses) return;
    const answer = { cause: DiscardCause[cause], era, unreadable, current: eras.current };
    logger.warn("store.answer-passed-over", answer);
  });
}
