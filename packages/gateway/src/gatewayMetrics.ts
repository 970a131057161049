/**
 * Counters and latencies of an instance, and the port they are read at.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { ConnectionTraffic } from "@gladewall/coordination";
import { type Closeable, listen, Metrics } from "@gladewall/kernel";

/** Values that are read when the page is. */
export interface MetricSources {
  readonly isReady: () => boolean;
  readonly getVersion: () => number;
  readonly getProofAge: () => number;
  readonly getOpenRequests: () => number;
  readonly getLinkedPeers: () => number;
  readonly getPeerTraffic: () => Readonly<ConnectionTraffic>;
  readonly isCollector: () => boolean;
  readonly getUsableEndpoints: () => number;
  readonly isDutyHolder: () => boolean;
}

const metricsPath = "/metrics";
const good = 200;
const notFound = 404;
const contentType = "text/plain; version=0.0.4";

/** All metrics of an instance. */
export class GatewayMetrics implements Closeable {
  private readonly registry = Metrics.create();
  private readonly server: Server;

  private constructor(private readonly address: string) {
    this.server = createServer((message, response) => this.answer(message, response));
  }

  static create(address: string): GatewayMetrics {
    return new GatewayMetrics(address);
  }

  /** Counts a request that came to its end. `failure` is the name of ours, `none` for an endpoint's answer. */
  countRequest(service: string, status: number, failure: string, milliseconds: number): void {
    const labels = { service, status: String(status), failure };
    this.registry.getCounter("gladewall_requests_total", "Requests by their final answer.", labels).add();
    const help = "Time from a request's arrival to the end of its answer.";
    this.registry.getLatency("gladewall_request_milliseconds", help, { service }).record(milliseconds);
  }

  /** Counts a request that was refused before it had a service. */
  countRefusal(failure: string, status: number): void {
    const labels = { failure, status: String(status) };
    this.registry
      .getCounter("gladewall_refusals_total", "Requests that were refused on arrival.", labels)
      .add();
  }

  /** Counts one sending of a request to an endpoint. */
  countAttempt(service: string, end: string): void {
    const help = "Sendings to endpoints by how they ended.";
    this.registry.getCounter("gladewall_attempts_total", help, { service, end }).add();
  }

  setSources(sources: MetricSources): void {
    const set = (name: string, help: string, read: () => number): void =>
      this.registry.setGauge(name, help, read);
    set("gladewall_ready", "1 while requests are taken.", () => Number(sources.isReady()));
    set("gladewall_configuration_version", "Version in force.", sources.getVersion);
    set("gladewall_proof_age_milliseconds", "Age of the proof of that version.", sources.getProofAge);
    set("gladewall_open_requests", "Requests without a final answer.", sources.getOpenRequests);
    set("gladewall_linked_peers", "Other instances that are linked.", sources.getLinkedPeers);
    set(
      "gladewall_peer_sent_bytes",
      "Bytes sent to other instances.",
      () => sources.getPeerTraffic().sentBytes,
    );
    set(
      "gladewall_peer_received_bytes",
      "Bytes received from other instances.",
      () => sources.getPeerTraffic().receivedBytes,
    );
    set("gladewall_collector", "1 while this instance hears the whole fleet.", () =>
      Number(sources.isCollector()),
    );
    set("gladewall_usable_endpoints", "Endpoints that take work.", sources.getUsableEndpoints);
    set("gladewall_duty_holder", "1 while this instance gives orders.", () => Number(sources.isDutyHolder()));
  }

  async open(): Promise<void> {
    await listen(this.server, this.address);
  }

  async close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
  }

  private answer(message: IncomingMessage, response: ServerResponse): void {
    const isKnown = message.url === metricsPath;
    response.writeHead(isKnown ? good : notFound, { "content-type": contentType });
    response.end(isKnown ? this.registry.format() : "");
  }
}
