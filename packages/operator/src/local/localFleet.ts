/**
 * Runs the whole system in one process on the loopback interface: a fake platform, model engines and web services in
 * several data halls, and entries.
 * @module
 */
import { type InstanceRecord, InstanceRole, InstanceState, PriceClass } from "@gladewall/coordination";
import {
  Entry,
  type EntryAddresses,
  configurationCodec,
  configurationKey,
  entrySchema,
} from "@gladewall/entry";
import { type Logger, parseSettings } from "@gladewall/kernel";
import { type Configuration, getKeyHash } from "@gladewall/policy";
import { request } from "undici";
import { sampleKeys } from "./sampleTable.js";
import {
  FakeEngine,
  type EngineOptions,
  FakeKeyValueServer,
  FakeCloudServices,
  type RunRecord,
  type WebRecord,
  FakeWebService,
  FakeWeightStore,
} from "@gladewall/standins";

/** Size and settings of a local fleet. */
export interface LocalOptions {
  readonly entries: number;
  readonly runners: number;
  readonly webEndpoints: number;
  readonly halls: readonly string[];
  readonly configuration: Configuration;
  readonly engine: EngineOptions;
  readonly logger: Logger;
  /** Further settings of the entries as `section.key=value`. */
  readonly overrides: readonly string[];
}

/** A started entry with its addresses and its record on the instance list. */
export interface LocalEntry {
  readonly entry: Entry;
  readonly addresses: EntryAddresses;
  readonly record: InstanceRecord;
}

/** Operator key of all entries of a local fleet. */
export const localOperatorKey = "local-operator-key";

const peerSecret = "local-secret-of-all-entries";
const reclaimablePrice = 120;
const onDemandPrice = 400;
/** Number of peer links that each entry keeps open, which is the default of `[peers] links`. */
const linksPerEntry = 16;
/** Interval between readings of the instance list. It is short so that the entries of a local fleet link quickly. */
const listIntervalMs = 50;
const weightBytes = 16_000_000_000;

/** A running local fleet. Tests use its methods to stop, kill and replace instances. */
export class LocalFleet {
  readonly entries: LocalEntry[] = [];
  readonly engines = new Map<string, FakeEngine>();
  readonly webs = new Map<string, FakeWebService>();
  /** Ids of instances that were killed. */
  private readonly killed = new Set<string>();
  /** Ids of instances that have a reclaim notice. */
  private readonly leaving = new Set<string>();
  private readonly endpointRecords = new Map<string, InstanceRecord>();
  private incarnations = 0;

  private constructor(
    readonly options: LocalOptions,
    readonly keyValue: FakeKeyValueServer,
    readonly platform: FakeCloudServices,
    readonly weights: FakeWeightStore,
  ) {}

  /** Starts all instances and waits until the entries are ready, as `waitUntilReady` does. */
  static async create(options: LocalOptions): Promise<LocalFleet> {
    const keyValue = await FakeKeyValueServer.create();
    const platform = await FakeCloudServices.create();
    const weights = await FakeWeightStore.create(new Map([["model", weightBytes]]));
    const fleet = new LocalFleet(options, keyValue, platform, weights);
    keyValue.store.tryCompareAndSwap(
      `gladewall/${configurationKey}`,
      configurationCodec.encode(options.configuration),
      0,
    );
    for (let index = 0; index < options.runners; index++) await fleet.addEngine(index);
    for (let index = 0; index < options.webEndpoints; index++) await fleet.addWeb(index);
    for (let index = 0; index < options.entries; index++) await fleet.addEntry(index);
    await fleet.waitUntilReady();
    return fleet;
  }

  /** Resolves when every running entry has the configuration and is linked to the other entries (at most 16). */
  async waitUntilReady(): Promise<void> {
    const live = this.entries.filter(({ record }) => !this.killed.has(record.id));
    await Promise.all(live.map(({ entry }) => entry.waitUntilReady()));
    await Promise.all(
      live.map(({ entry }) => entry.links.waitForLinks(Math.min(live.length - 1, linksPerEntry))),
    );
  }

  /** Returns the data hall of the instance with an index. */
  getHall(index: number): string {
    return this.options.halls[index % this.options.halls.length] ?? "hall";
  }

  /** Starts a model engine and publishes it on the instance list. */
  async addEngine(index: number): Promise<InstanceRecord> {
    const engine = await FakeEngine.create(this.options.engine);
    const record = this.createRecord(`runner-${index}`, "model", "openai-engine", engine.address, index);
    this.engines.set(record.id, engine);
    this.endpointRecords.set(record.id, record);
    this.platform.publish(record);
    return record;
  }

  /** Starts an endpoint of the web service and publishes it on the instance list. */
  async addWeb(index: number): Promise<InstanceRecord> {
    const web = await FakeWebService.create();
    const record = this.createRecord(`booking-${index}`, "booking", "http-service", web.address, index);
    this.webs.set(record.id, web);
    this.endpointRecords.set(record.id, record);
    this.platform.publish(record);
    return record;
  }

  /** Starts an entry and publishes it on the instance list. */
  async addEntry(index: number): Promise<LocalEntry> {
    const name = `entry-${index}`;
    const draft = this.createRecord(name, "", "", "", index);
    const settings = parseSettings(entrySchema, this.formatSettings(draft), {
      file: "(local)",
      environment: {},
      overrides: [`platform.list_interval=${listIntervalMs}`, ...this.options.overrides],
    });
    const entry = Entry.create(
      settings.expect("the settings of a local fleet are valid"),
      this.options.logger,
    );
    const started = entry.expect("the plug-ins of a local fleet are registered");
    const addresses = await started.start();
    const record = { ...draft, address: addresses.peers, role: InstanceRole.Entry };
    const local = { entry: started, addresses, record };
    this.entries.push(local);
    this.platform.publish(record);
    return local;
  }

  /**
   * Returns the caller addresses of the ready entries, as a load balancer knows them; of all running entries if none is
   * ready.
   */
  getCallerAddresses(): readonly string[] {
    const live = this.entries.filter(({ record }) => !this.killed.has(record.id));
    const ready = live.filter(({ entry }) => entry.getUnreadyReason() === undefined);
    return (ready.length > 0 ? ready : live).map(({ addresses }) => addresses.front);
  }

  /** Returns the records of all endpoints, including those that were killed. */
  getRecords(): { readonly runs: readonly RunRecord[]; readonly calls: readonly WebRecord[] } {
    const runs = [...this.engines.values()].flatMap((engine) => engine.records);
    const calls = [...this.webs.values()].flatMap((web) => web.records);
    return { runs, calls };
  }

  /** Closes an entry as a crash would and removes it from the instance list, which shows that after its delay. */
  async killEntry(id: string): Promise<void> {
    const local = this.entries.find(({ record }) => record.id === id);
    if (!local || this.killed.has(id)) return;
    this.killed.add(id);
    this.platform.remove(id);
    await local.entry.kill();
  }

  /** Closes an endpoint as a crash would and removes it from the instance list. */
  async killEndpoint(id: string): Promise<void> {
    this.killed.add(id);
    this.platform.remove(id);
    await (this.engines.get(id) ?? this.webs.get(id))?.close();
  }

  /** Records that an instance has a reclaim notice, so that it is not chosen for another fault. */
  markLeaving(id: string): void {
    this.leaving.add(id);
  }

  /** Returns the entries of which one can be removed such that at least `minRemaining` remain. */
  getReplaceableEntries(minRemaining: number): readonly string[] {
    const free = this.entries.map(({ record }) => record.id).filter((id) => this.isReplaceable(id));
    return free.length > minRemaining ? free : [];
  }

  /** Returns the endpoints of which one can be removed such that at least `minRemaining` of its service remain. */
  getReplaceableEndpoints(minRemaining: number): readonly string[] {
    const groups = [[...this.engines.keys()], [...this.webs.keys()]];
    return groups.flatMap((ids) => {
      const free = ids.filter((id) => this.isReplaceable(id));
      return free.length > minRemaining ? free : [];
    });
  }

  /**
   * Returns endpoints of data halls that can be removed together such that at least `minRemaining` of each service
   * remain.
   */
  getReclaimable(halls: ReadonlySet<string>, minRemaining: number): readonly string[] {
    const groups = [[...this.engines.keys()], [...this.webs.keys()]];
    return groups.flatMap((ids) => {
      const free = ids.filter((id) => this.isReplaceable(id));
      const taken = free.filter((id) => halls.has(this.endpointRecords.get(id)?.hall ?? ""));
      return taken.slice(0, Math.max(0, free.length - minRemaining));
    });
  }

  /** Returns the running engines. */
  getLiveEngines(): readonly FakeEngine[] {
    return [...this.engines].filter(([id]) => !this.killed.has(id)).map(([, engine]) => engine);
  }

  /** Returns the running endpoints of the web service. */
  getLiveWebs(): readonly FakeWebService[] {
    return [...this.webs].filter(([id]) => !this.killed.has(id)).map(([, web]) => web);
  }

  /** Starts another endpoint of the same service to replace one that was removed. */
  async replaceEndpoint(id: string): Promise<void> {
    const index = this.engines.size + this.webs.size;
    if (this.engines.has(id)) await this.addEngine(index);
    else await this.addWeb(index);
  }

  private isReplaceable(id: string): boolean {
    return !this.killed.has(id) && !this.leaving.has(id);
  }

  /** Resolves when every running entry satisfies the condition. */
  async waitForView(condition: (entry: Entry) => boolean): Promise<void> {
    const live = this.entries.filter(({ record }) => !this.killed.has(record.id));
    while (!live.every(({ entry }) => condition(entry))) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Sends a POST request to a running entry and returns the status and the parsed JSON body of the response. */
  async post(
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = {},
    index = 0,
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    const addresses = this.getCallerAddresses();
    const authorization = `Bearer ${sampleKeys.cab}`;
    const response = await request(`http://${addresses[index % addresses.length]}${path}`, {
      method: "POST",
      headers: { authorization, "content-type": "application/json", ...headers },
      body,
    });
    return { status: response.statusCode, body: await response.body.json() };
  }

  /** Stops the entries as planned, then closes the fake endpoints and the fake platform. */
  async close(): Promise<void> {
    const live = this.entries.filter(({ record }) => !this.killed.has(record.id));
    await Promise.all(live.map(({ entry }) => entry.stop()));
    await Promise.all([...this.engines.values(), ...this.webs.values()].map((server) => server.close()));
    await Promise.all([this.keyValue.close(), this.platform.close(), this.weights.close()]);
  }

  private createRecord(
    id: string,
    service: string,
    protocol: string,
    address: string,
    index: number,
  ): InstanceRecord {
    const isReclaimable = index % 2 === 0;
    this.incarnations += 1;
    return {
      id,
      incarnation: this.incarnations,
      role: InstanceRole.Endpoint,
      service,
      protocol,
      address,
      hall: this.getHall(index),
      priceClass: isReclaimable ? PriceClass.Reclaimable : PriceClass.OnDemand,
      price: isReclaimable ? reclaimablePrice : onDemandPrice,
      state: InstanceState.Live,
    };
  }

  private formatSettings(record: InstanceRecord): string {
    const lines = [
      "[entry]",
      `name = ${record.id}`,
      `incarnation = ${record.incarnation}`,
      `hall = ${record.hall}`,
      "[operators]",
      `key_hash = ${getKeyHash(localOperatorKey)}`,
      "[peers]",
      `secret = ${peerSecret}`,
      "[platform]",
      `key_value_address = ${this.keyValue.address}`,
      `instance_list_address = ${this.platform.address}`,
      `notices_address = ${this.platform.address}`,
    ];
    return lines.join("\n");
  }
}
