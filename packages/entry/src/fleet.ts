/**
 * The endpoints of the live view, each with its client and what is believed of its load.
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

/** One endpoint. */
export interface Endpoint {
  readonly load: EndpointLoadEstimate;
  readonly client: EndpointClient;
  /** Ends the endpoint's own task. */
  readonly stop: AbortController;
}

/** Called when an endpoint starts to leave or is gone. */
export type LeavingListener = (endpoint: Endpoint, status: InstanceStatus) => void;

/** All endpoints that this entry knows. */
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

  /** Returns the loads of a service's endpoints, leaving ones too. */
  getLoads(service: string): readonly EndpointLoadEstimate[] {
    return this.loadsByService.get(service) ?? [];
  }

  /** Returns an endpoint by its instance's id. */
  get(id: string): Endpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Returns all endpoints. */
  getAll(): readonly Endpoint[] {
    return [...this.endpoints.values()];
  }

  /** Calls back when a service's endpoints may have room. */
  onCapacity(listener: (service: string) => void): void {
    this.capacityListeners.add(listener);
  }

  /** Calls back when an endpoint starts to leave. */
  onLeaving(listener: LeavingListener): void {
    this.leavingListeners.add(listener);
  }

  /** Tells the waiting that a service's endpoints may have room. */
  notifyCapacity(service: string): void {
    for (const listener of this.capacityListeners) listener(service);
  }

  /** Ends all clients. */
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
    const present = this.endpoints.get(status.record.id);
    const isSameIncarnation = present && isSameInstance(present.load.record, status.record);
    if (!isSameIncarnation && !isUsable(status)) return;
    const endpoint = isSameIncarnation ? present : this.addEndpoint(status.record, present);
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
    void this.followLoad(endpoint);
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

  /** With many endpoints each is asked less often: answers tell their loads too, and cost nothing. */
  private getPollIntervalMs(): number {
    const { load_interval: interval, load_polls: polls } = this.settings;
    return Math.max(interval, (this.endpoints.size / polls) * millisecondsPerSecond);
  }

  private async followLoad(endpoint: Endpoint): Promise<void> {
    const { signal } = endpoint.stop;
    // Many endpoints that appear together are not all asked at once.
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
