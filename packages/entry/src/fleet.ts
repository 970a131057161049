/**
 * Tracks the endpoints of the membership view, each with its client and an estimate of its load, and reads their load
 * reports.
 * @module
 */
import {
  type InstanceRecord,
  InstanceRole,
  type InstanceStatus,
  isUsable,
  type MembershipView,
} from "@gladewall/coordination";
import { type Clock, createFromPlugin, type Logger, PluginKind, waitFor } from "@gladewall/kernel";
import { EndpointLoadEstimate } from "@gladewall/policy";
import type { EntrySettings } from "./entrySettings.js";
import type { EndpointClient, EndpointOptions } from "./types.js";

const millisecondsPerSecond = 1000;
const hashRange = 2 ** 32;

/** An endpoint with its load estimate and its client. */
export interface Endpoint {
  readonly load: EndpointLoadEstimate;
  readonly client: EndpointClient;
  /** Aborted to stop reading the endpoint's load reports. */
  readonly stop: AbortController;
}

/** Called when an endpoint starts to leave or disappears. */
export type LeavingListener = (endpoint: Endpoint, status: InstanceStatus) => void;

/** All known endpoints, by id and by service. */
export class Fleet {
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly loadsByService = new Map<string, EndpointLoadEstimate[]>();
  private readonly capacityListeners = new Set<(service: string) => void>();
  private readonly leavingListeners = new Set<LeavingListener>();
  private readonly stopWatching: () => void;

  private constructor(
    private readonly settings: EntrySettings["endpoints"],
    private readonly clock: Clock,
    private readonly logger: Logger,
    view: MembershipView,
  ) {
    this.stopWatching = view.onChange((instance) => this.handleChange(instance));
    for (const instance of view.getAll()) this.handleChange(instance);
  }

  static create(
    settings: EntrySettings["endpoints"],
    clock: Clock,
    logger: Logger,
    view: MembershipView,
  ): Fleet {
    return new Fleet(settings, clock, logger, view);
  }

  /** Returns the load estimates of a service's endpoints, including leaving ones. */
  getLoads(service: string): readonly EndpointLoadEstimate[] {
    return this.loadsByService.get(service) ?? [];
  }

  /** Returns the endpoint with an instance id. */
  get(id: string): Endpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Returns all endpoints. */
  getAll(): readonly Endpoint[] {
    return [...this.endpoints.values()];
  }

  /** Registers a listener that is called with a service whose endpoints may have capacity. */
  onCapacity(listener: (service: string) => void): void {
    this.capacityListeners.add(listener);
  }

  /** Registers a listener that is called when an endpoint starts to leave or disappears. */
  onLeaving(listener: LeavingListener): void {
    this.leavingListeners.add(listener);
  }

  /** Notifies the listeners that a service's endpoints may have capacity. */
  notifyCapacity(service: string): void {
    for (const listener of this.capacityListeners) listener(service);
  }

  /** Stops following the view and closes all clients. */
  async close(): Promise<void> {
    this.stopWatching();
    const endpoints = [...this.endpoints.values()];
    this.endpoints.clear();
    this.loadsByService.clear();
    endpoints.forEach((endpoint) => endpoint.stop.abort());
    await Promise.all(endpoints.map((endpoint) => endpoint.client.close()));
  }

  private handleChange(status: InstanceStatus): void {
    if (status.record.role !== InstanceRole.Endpoint) return;
    const current = this.endpoints.get(status.record.id);
    const isSameIncarnation = current && isSameInstance(current.load.record, status.record);
    if (!isSameIncarnation && !isUsable(status)) return;
    const endpoint = isSameIncarnation ? current : this.addEndpoint(status.record, current);
    if (!endpoint) return;
    const wasLeaving = endpoint.load.isLeaving;
    endpoint.load.isLeaving = !isUsable(status);
    if (endpoint.load.isLeaving && !wasLeaving) {
      this.logger.info("endpoint.leaving", { endpoint: status.record.id, hall: status.record.hall });
      for (const listener of this.leavingListeners) listener(endpoint, status);
    }
    if (!endpoint.load.isLeaving) this.notifyCapacity(status.record.service);
  }

  private addEndpoint(record: InstanceRecord, replaced: Endpoint | undefined): Endpoint | undefined {
    const { connect_timeout: connectTimeout, idle_timeout: idleTimeout } = this.settings;
    const options: EndpointOptions = { record, connectTimeout, idleTimeout };
    const client = createFromPlugin<EndpointOptions, EndpointClient>(
      PluginKind.Endpoint,
      record.protocol,
      options,
    );
    if (client.isErr()) {
      this.logger.warn("endpoint.refused", {
        endpoint: record.id,
        failure: client.error.name,
        text: client.error.text,
      });
      return undefined;
    }
    if (replaced) this.removeEndpoint(replaced);
    const load = EndpointLoadEstimate.create(this.clock, record);
    const endpoint: Endpoint = { load, client: client.value, stop: new AbortController() };
    this.endpoints.set(record.id, endpoint);
    const loads = this.loadsByService.get(record.service) ?? [];
    this.loadsByService.set(record.service, [...loads, load]);
    void this.pollLoad(endpoint);
    return endpoint;
  }

  private removeEndpoint(endpoint: Endpoint): void {
    const { service } = endpoint.load.record;
    const loads = this.loadsByService.get(service) ?? [];
    this.loadsByService.set(
      service,
      loads.filter((load) => load !== endpoint.load),
    );
    endpoint.load.isLeaving = true;
    endpoint.stop.abort();
  }

  /**
   * Returns the interval between two reads of an endpoint's load. It grows with the number of endpoints, because
   * responses carry load reports too, at no extra cost.
   */
  private getPollIntervalMs(): number {
    const { load_interval: interval, load_polls: polls } = this.settings;
    return Math.max(interval, (this.endpoints.size / polls) * millisecondsPerSecond);
  }

  private async pollLoad(endpoint: Endpoint): Promise<void> {
    const { signal } = endpoint.stop;
    // Spreads the first reads, so that many endpoints that appear together are not all read at once.
    const spreadMs = this.getPollIntervalMs() - this.settings.load_interval;
    await waitFor(this.clock, (endpoint.load.idHash / hashRange) * spreadMs, signal);
    while (!signal.aborted && !endpoint.load.isLeaving) {
      const report = await endpoint.client.readLoad();
      if (report.isOk()) {
        endpoint.load.applyReport(report.value);
        this.notifyCapacity(endpoint.load.record.service);
      }
      await waitFor(this.clock, this.getPollIntervalMs(), signal);
    }
  }
}

function isSameInstance(left: InstanceRecord, right: InstanceRecord): boolean {
  return left.incarnation === right.incarnation && left.address === right.address;
}
