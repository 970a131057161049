/**
 * Keeps an instance's counters, gauges and latencies, and serves them over HTTP.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { ConnectionTraffic } from "@gladewall/coordination";
import { type Closeable, listen, Metrics } from "@gladewall/kernel";
import { LeavingSource } from "./endpoints/endpointAvailability.js";
import { OverloadMode } from "./overloadSwitch.js";
import { BodyFraming, type EndedResponse, EndEvidence, ResponseEnd } from "./responses/responseEnd.js";

/** Values that are read when the metrics are requested. */
export interface MetricSources {
  readonly isReady: () => boolean;
  readonly getVersion: () => number;
  readonly getProofAge: () => number;
  readonly getOpenRequests: () => number;
  readonly getLinkedPeers: () => number;
  readonly getPeerTraffic: () => Readonly<ConnectionTraffic>;
  readonly isCollector: () => boolean;
  readonly getKnownShare: () => number;
  readonly getViewAge: () => number;
  readonly getUsableEndpoints: () => number;
  readonly countLeaving: (source: LeavingSource) => number;
  readonly countHeldOff: () => number;
  /** Endpoints that advertise a limit, and the sum of their limits in requests a second. */
  readonly countLimited: () => { readonly endpoints: number; readonly perSecond: number };
  /** Requests of this instance that wait for a slot, and requests of all instances that wait here. */
  readonly countWaitingForSlots: () => { readonly own: number; readonly here: number };
  readonly isLeader: () => boolean;
  /** Era of the store, and whether its reads prove the configuration. */
  readonly getEra: () => number;
  readonly isEraSettled: () => boolean;
  /** Services of which this instance reaches no endpoint. */
  readonly countCutOff: () => number;
  /** Attempts under way that are passed on through peers, and attempts of peers that are passed on here. */
  readonly countForwarding: () => { readonly sent: number; readonly received: number };
  /** Requests under which an endpoint crashed, and those of them that are no longer run. */
  readonly countSuspectParts: () => { readonly watched: number; readonly convicted: number };
  readonly countSuspects: () => { readonly watched: number; readonly convicted: number };
}

/** What happened to units of a workspace's limit. */
export enum QuotaEvent {
  /** Charged to the limit. */
  Charged = 1,
  /** Requested and refused. */
  Refused = 2,
  /** Refunded, because nothing ran. */
  Returned = 3,
  /** May have run at an endpoint; a request counts once for each run. */
  Run = 4,
}

/** Values of the gauges of one workspace's limit. */
export interface QuotaGauges {
  /** Units that the fleet has taken, as far as this instance knows. */
  readonly getLevel: () => number;
  /** Units that the fleet may take. */
  readonly getCapacity: () => number;
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
    this.server = createServer((message, response) => this.sendMetrics(message, response));
  }

  static create(address: string): GatewayMetrics {
    return new GatewayMetrics(address);
  }

  /**
   * Counts a completed request. `failure` is the name of the gateway's failure, or `none` for an endpoint's
   * response.
   */
  countRequest(service: string, status: number, failure: string, milliseconds: number): void {
    const labels = { service, status: String(status), failure };
    this.registry.getCounter("gladewall_requests_total", "Requests by their final answer.", labels).add();
    const help = "Time from a request's arrival to the end of its answer.";
    this.registry
      .getLatencyHistogram("gladewall_request_milliseconds", help, { service })
      .record(milliseconds);
  }

  /** Counts a request that was refused before its service was known. */
  countRefusal(failure: string, status: number): void {
    const labels = { failure, status: String(status) };
    this.registry
      .getCounter("gladewall_refusals_total", "Requests that were refused on arrival.", labels)
      .add();
  }

  /** Counts an attempt to run a request at an endpoint. */
  countAttempt(service: string, end: string): void {
    const help = "Sendings to endpoints by how they ended.";
    this.registry.getCounter("gladewall_attempts_total", help, { service, end }).add();
  }

  /** Counts a response of an endpoint by its end. */
  countResponseEnd(service: string, { end, framing, evidence }: EndedResponse): void {
    const help = "Responses of endpoints, by how they ended and how their ends were marked.";
    const labels = {
      service,
      end: ResponseEnd[end],
      framing: BodyFraming[framing],
      evidence: evidence === undefined ? "not needed" : EndEvidence[evidence],
    };
    this.registry.getCounter("gladewall_response_ends_total", help, labels).add();
  }

  /** Counts an attempt that was passed on through a peer, by what the peer stated. */
  countForwarded(service: string, result: string): void {
    const help = "Attempts that were passed on through peers, by what became of them there.";
    this.registry.getCounter("gladewall_forwarded_total", help, { service, result }).add();
  }

  /** Counts a stream that its caller takes up, by what becomes of it and how its origin is known. */
  countTakeUp(service: string, outcome: string, source: string): void {
    const help =
      "Streams that callers took up, by what became of them and how it was known where they began.";
    this.registry.getCounter("gladewall_take_ups_total", help, { service, outcome, source }).add();
  }

  /** Counts units of a workspace's limit. */
  countQuota(workspace: string, event: QuotaEvent, units: number): void {
    const labels = { workspace, event: QuotaEvent[event].toLowerCase() };
    this.registry
      .getCounter("gladewall_quota_units_total", "Units of limits by what became of them.", labels)
      .add(units);
  }

  /** Counts a call to the arbiter of a limit, by its decision. */
  countQuotaCall(word: string): void {
    const labels = { word: word.toLowerCase() };
    this.registry.getCounter("gladewall_quota_asks_total", "Questions to arbiters of limits.", labels).add();
  }

  /** Counts a refusal by the order inside a workspace's limit; in mode `observe` the request was not refused. */
  countOrderRefusal(workspace: string, rank: number, mode: OverloadMode): void {
    const help =
      "Requests over the share of their rank while a workspace's limit is short, by the limit's arbiter.";
    const labels = { workspace, rank: String(rank), mode: OverloadMode[mode].toLowerCase() };
    this.registry.getCounter("gladewall_quota_order_refusals_total", help, labels).add();
  }

  /** Counts a call for a permit, by its decision. */
  countPermit(word: string): void {
    const help = "Questions for permits to send to endpoints that name a limit.";
    this.registry.getCounter("gladewall_permit_asks_total", help, { word: word.toLowerCase() }).add();
  }

  /** Counts a decision on a request for a slot of a service, by who made it: `own`, `remote` or `none`. */
  countSlotDecision(service: string, outcome: string, by: string): void {
    const help = "Requests for slots of contended services, by decision and by who decided.";
    const labels = { service, outcome: outcome.toLowerCase(), by };
    this.registry.getCounter("gladewall_slot_decisions_total", help, labels).add();
  }

  /** Records how long a request of this instance waited for a slot. */
  recordSlotWait(service: string, milliseconds: number): void {
    const help = "Time for which queued requests waited for a slot.";
    this.registry
      .getLatencyHistogram("gladewall_slot_wait_milliseconds", help, { service })
      .record(milliseconds);
  }

  /** Counts a discarded response of the store, which is not of its current era. */
  countDiscardedResponse(cause: string): void {
    const help = "Answers of the store that were passed over, as they are not of its present era.";
    this.registry
      .getCounter("gladewall_store_passed_answers_total", help, { cause: cause.toLowerCase() })
      .add();
  }

  /** Counts an endpoint that crashed with requests of this instance running on it. */
  countEndpointCrash(service: string): void {
    const help = "Endpoints that ended with requests of this instance on them.";
    this.registry.getCounter("gladewall_endpoint_ends_total", help, { service }).add();
  }

  /** Counts a failure of this instance itself that ended one request or message. */
  countContainedFailure(place: string): void {
    const help = "Failures of the gateway itself that ended one request or message.";
    this.registry.getCounter("gladewall_contained_failures_total", help, { place }).add();
  }

  /** Counts a connection that was closed unread, because this instance is handed more than it can serve. */
  countShedConnection(): void {
    this.registry
      .getCounter("gladewall_connections_shed_total", "Connections that were closed unread.", {})
      .add();
  }

  /** Counts a refusal of a request under which endpoints crashed. */
  countSuspectRefusal(service: string, verdict: string): void {
    const help = "Refusals of requests under which endpoints ended.";
    const labels = { service, verdict: verdict.toLowerCase() };
    this.registry.getCounter("gladewall_suspect_refusals_total", help, labels).add();
  }

  /** Registers the gauges of a workspace's limit; further calls for the same workspace have no effect. */
  registerQuotaGauges(workspace: string, { getLevel, getCapacity }: QuotaGauges): void {
    const labels = { workspace };
    this.registry.registerGauge("gladewall_quota_level", "Units taken, as known here.", getLevel, labels);
    this.registry.registerGauge("gladewall_quota_room", "Units that may be taken.", getCapacity, labels);
  }

  private setSuspectSources({ countSuspects, countSuspectParts }: MetricSources): void {
    const set = (name: string, help: string, read: () => number): void =>
      this.registry.registerGauge(name, help, read);
    set("gladewall_suspects", "Requests watched because an endpoint ended.", () => countSuspects().watched);
    set("gladewall_convicted", "Of these, such as are not run any more.", () => countSuspects().convicted);
    const help = "Parts of prompts watched because endpoints ended.";
    set("gladewall_suspect_parts", help, () => countSuspectParts().watched);
    const refused = "Of these, such as requests are refused for.";
    set("gladewall_convicted_parts", refused, () => countSuspectParts().convicted);
  }

  setSources(sources: MetricSources): void {
    const set = (name: string, help: string, read: () => number): void =>
      this.registry.registerGauge(name, help, read);
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
    set("gladewall_known_share", "Share of the fleet whose counts are known.", sources.getKnownShare);
    set(
      "gladewall_view_age_milliseconds",
      "Age of what a reader told; -1 before the first.",
      sources.getViewAge,
    );
    set("gladewall_usable_endpoints", "Endpoints that take work.", sources.getUsableEndpoints);
    this.setSuspectSources(sources);
    for (const source of [
      LeavingSource.Record,
      LeavingSource.Answer,
      LeavingSource.Peer,
      LeavingSource.Successor,
    ]) {
      const labels = { source: LeavingSource[source].toLowerCase() };
      const help = "Endpoints that leave, by whom that was first known from.";
      this.registry.registerGauge(
        "gladewall_leaving_endpoints",
        help,
        () => sources.countLeaving(source),
        labels,
      );
    }
    set(
      "gladewall_held_off_endpoints",
      "Endpoints that want no request of this instance for a time.",
      sources.countHeldOff,
    );
    set(
      "gladewall_limited_endpoints",
      "Endpoints that name a limit of requests a second.",
      () => sources.countLimited().endpoints,
    );
    set(
      "gladewall_limited_requests_per_second",
      "Requests a second that these take of all instances together.",
      () => sources.countLimited().perSecond,
    );
    this.setSlotSources(sources);
    this.setForwardingSources(sources);
    set("gladewall_store_era", "Era of the store; 0 where it tells none.", sources.getEra);
    set("gladewall_store_settled", "1 while the store's reads prove the configuration.", () =>
      Number(sources.isEraSettled()),
    );
    set("gladewall_duty_holder", "1 while this instance gives orders.", () => Number(sources.isLeader()));
  }

  private setForwardingSources({ countCutOff, countForwarding }: MetricSources): void {
    this.registry.registerGauge(
      "gladewall_cut_off_services",
      "Services of which no endpoint is reached from here.",
      countCutOff,
    );
    this.registry.registerGauge(
      "gladewall_forwarding_sent",
      "Attempts under way that are passed on through peers.",
      () => countForwarding().sent,
    );
    this.registry.registerGauge(
      "gladewall_forwarding_received",
      "Attempts of peers that are passed on here.",
      () => countForwarding().received,
    );
  }

  private setSlotSources({ countWaitingForSlots }: MetricSources): void {
    this.registry.registerGauge(
      "gladewall_slot_waiting_requests",
      "Requests of this instance that wait for a slot.",
      () => countWaitingForSlots().own,
    );
    this.registry.registerGauge(
      "gladewall_slot_queued_requests",
      "Requests of all instances that wait for a slot in the queues of this arbiter.",
      () => countWaitingForSlots().here,
    );
  }

  async open(): Promise<void> {
    await listen(this.server, this.address);
  }

  async close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
  }

  private sendMetrics(message: IncomingMessage, response: ServerResponse): void {
    const isKnown = message.url === metricsPath;
    response.writeHead(isKnown ? good : notFound, { "content-type": contentType });
    response.end(isKnown ? this.registry.format() : "");
  }
}
