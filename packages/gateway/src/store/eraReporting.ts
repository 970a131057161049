/**
 * Logs era changes of the store, and logs and counts discarded responses.
 * @module
 */
import type { Logger } from "@gladewall/kernel";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import { EraSource, DiscardCause, type StoreEras } from "./storeEras.js";

/** Discarded responses that are logged per era; the rest are only counted. */
const maxLoggedResponses = 20;

/** Logs era changes, and logs and counts discarded responses. */
export function reportEras(eras: StoreEras, logger: Logger, metrics: GatewayMetrics): void {
  let loggedResponses = 0;
  eras.onEraChange(({ from, to, source, revisionBefore }) => {
    loggedResponses = 0;
    logger.warn("store.era", { from, to, source: EraSource[source], revisionBefore });
  });
  eras.onDiscarded(({ cause, era, unreadable }) => {
    metrics.countDiscardedResponse(DiscardCause[cause]);
    loggedResponses += 1;
    if (loggedResponses > maxLoggedResponses) return;
    const response = { cause: DiscardCause[cause], era, unreadable, current: eras.current };
    logger.warn("store.answer-passed-over", response);
  });
}
