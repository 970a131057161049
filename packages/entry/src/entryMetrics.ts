/**
 * Defines the names and help texts of the metrics that an entry records.
 * @module
 */
import { type Counter, type Failure, type LatencyHistogram, Metrics } from "@gladewall/kernel";
import type { ActiveRequest } from "./requests.js";
import type { Envelope } from "./types.js";

/** Counters and latency histograms of one entry. */
export class EntryMetrics {
  readonly retries: Counter;
  readonly resumes: Counter;
  readonly endpointFailures: Counter;
  readonly promptTokens: Counter;
  readonly cachedTokens: Counter;
  readonly recomputedTokens: Counter;
  readonly admitted: Counter;
  readonly unprotected: Counter;
  readonly copiedBytes: Counter;
  readonly progressFrames: Counter;
  readonly copyTime: LatencyHistogram;
  readonly moves: Counter;

  private constructor(readonly registry: Metrics) {
    this.retries = registry.getCounter("gladewall_retries_total", "Attempts after the first.");
    this.resumes = registry.getCounter("gladewall_resumes_total", "Cut streams that were resumed by run id.");
    this.endpointFailures = registry.getCounter(
      "gladewall_endpoint_failures_total",
      "Attempts that failed at an endpoint.",
    );
    this.promptTokens = registry.getCounter(
      "gladewall_prompt_tokens_total",
      "Prompt tokens sent to engines.",
    );
    this.cachedTokens = registry.getCounter(
      "gladewall_cached_tokens_total",
      "Prompt tokens that engines had cached.",
    );
    this.recomputedTokens = registry.getCounter(
      "gladewall_recomputed_tokens_total",
      "Tokens computed again after a loss.",
    );
    this.admitted = registry.getCounter("gladewall_admitted_total", "Requests admitted.");
    this.unprotected = registry.getCounter(
      "gladewall_unprotected_total",
      "Requests of which no peer holds a copy.",
    );
    this.copiedBytes = registry.getCounter(
      "gladewall_copied_bytes_total",
      "Bytes of bodies copied to backups.",
    );
    this.progressFrames = registry.getCounter(
      "gladewall_progress_frames_total",
      "Groups of progress sent to backups.",
    );
    this.copyTime = registry.getLatencyHistogram(
      "gladewall_copy_milliseconds",
      "Time until a backup holds a copy.",
    );
    this.moves = registry.getCounter("gladewall_moves_total", "Runs moved off leaving endpoints.");
  }

  static create(registry: Metrics = Metrics.create()): EntryMetrics {
    return new EntryMetrics(registry);
  }

  /** Returns the histogram of the time to the first token or byte for the requests of a policy row, milliseconds. */
  getFirstOutputLatency(row: string): LatencyHistogram {
    return this.registry.getLatencyHistogram(
      "gladewall_first_milliseconds",
      "Time to the first token or byte.",
      {
        row,
      },
    );
  }

  /** Records a request with a complete response: milliseconds to its first output and its end, and output tokens. */
  countCompletion(envelope: Envelope, firstMs: number, totalMs: number, outputTokens: number): void {
    const { row } = envelope;
    this.getFirstOutputLatency(row).record(firstMs);
    this.registry
      .getLatencyHistogram("gladewall_total_milliseconds", "Time to the end of the answer.", { row })
      .record(totalMs);
    this.registry
      .getCounter("gladewall_output_tokens_total", "Tokens given to callers.", { row })
      .add(outputTokens);
    this.registry.getCounter("gladewall_finished_total", "Requests that ended whole.", { row }).add();
  }

  /** Counts the tokens that must be computed again because an endpoint failed while it ran a request. */
  countLostTokens(request: ActiveRequest, endpoint: string): void {
    if (!request.envelope.model || request.firstChunkAt === undefined) return;
    const labels = { endpoint };
    const lost = request.envelope.model.promptTokens + request.log.end;
    this.recomputedTokens.add(lost);
    this.registry.getCounter("gladewall_lost_work_total", "Tokens lost by endpoint.", labels).add(lost);
  }

  /** Counts an accepted request that ended without a complete response. */
  countFailure(envelope: Envelope, failure: Failure): void {
    const labels = { row: envelope.row, failure: failure.name };
    this.registry
      .getCounter("gladewall_failed_total", "Requests that ended without a whole answer.", labels)
      .add();
  }

  /** Counts a request that was refused at admission. */
  countRefusal(failure: Failure): void {
    const labels = { failure: failure.name };
    this.registry.getCounter("gladewall_refused_total", "Requests refused at the door.", labels).add();
  }
}
