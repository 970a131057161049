/**
 * An instance of the simulated fleet: the parts of the runtime that know where streams began.
 * @module
 */
import {
  type Endpoint,
  GatewayMetrics,
  OriginArchive,
  OriginGossip,
  OriginRecorder,
  OriginTable,
  TakeUps,
  VersionHistory,
  VersionItems,
  type MetadataStore,
} from "@gladewall/gateway";
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import { type Clock, type Failure, Logger } from "@gladewall/kernel";
import { Ok, type Result } from "ts-results-es";
import { createKnownEndpoint } from "./knownEndpoints.js";
import type { SimulatedStore } from "./originStore.js";

export const service = "s";
const retentionMs = 15_000;

type Handler = (message: PeerMessage, peer: PeerIdentity) => unknown;

/** An endpoint of the simulation. */
export interface SimulatedEndpoint {
  readonly id: string;
  readonly version: string | undefined;
  isAlive: boolean;
}

/** The fleet as its instances need it. */
export interface MemberFleet {
  readonly clock: Clock;
  readonly random: () => number;
  readonly store: SimulatedStore;
  readonly members: readonly OriginMember[];
  findLiving(): readonly OriginMember[];
  getKeepers(member: OriginMember): readonly string[];
  send(from: OriginMember, name: string, message: PeerMessage): boolean;
  call(
    from: OriginMember,
    name: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<Result<unknown, Failure>>;
}

/** One life of an instance. */
export class OriginMember {
  isAlive = true;
  isLinked = false;
  pausedUntil = 0;
  readonly known: Endpoint[] = [];
  readonly handlers = new Map<number, Handler>();
  readonly linkListeners: ((peer: PeerIdentity) => void)[] = [];
  readonly history: VersionHistory;
  readonly items: VersionItems;
  readonly archive: OriginArchive;
  readonly takeUps: TakeUps;
  readonly recorder: OriginRecorder;
  readonly table: OriginTable;

  constructor(
    readonly fleet: MemberFleet,
    readonly index: number,
  ) {
    const { clock, random } = fleet;
    const getRetentionMs = (): number => retentionMs;
    const { history, table } = {
      history: VersionHistory.create({ clock, getRetentionMs }),
      table: OriginTable.create({ clock, getRetentionMs }),
    };
    this.history = history;
    this.table = table;
    const gossip = OriginGossip.create({
      clock,
      table,
      history,
      fleet: {
        links: {
          setHandler: (kind, handler) => void this.handlers.set(kind, handler),
          onLinkUp: (listener) => void this.linkListeners.push(listener),
          send: (name, message) => fleet.send(this, name, message),
          call: (name, message, timeoutMs) => fleet.call(this, name, message, timeoutMs),
        },
        getKeepers: () => fleet.getKeepers(this),
        get hasAllKeepers() {
          return fleet.members.every((other) => other.isLinked || !other.isAlive);
        },
      },
    });
    const kept = {
      store: {
        transact: (transaction) => fleet.store.transact(transaction),
        list: async (prefix) => Ok(fleet.store.list(prefix)),
      } as Pick<MetadataStore, "transact" | "list"> as MetadataStore,
      clock,
      logger: Logger.createSilent(),
      getTimeOfDay: () => clock.getTime(),
      isWriter: () => fleet.findLiving()[0] === this,
    };
    this.archive = OriginArchive.create({
      ...kept,
      table,
      getRetentionMs,
      isNeeded: () => history.hasMixedServices,
    });
    this.recorder = OriginRecorder.create({ table, history, gossip });
    this.takeUps = TakeUps.create({
      clock,
      logger: Logger.createSilent(),
      metrics: GatewayMetrics.create("127.0.0.1:0"),
      directory: { getOfService: () => this.known },
      table,
      history,
      gossip,
      archive: this.archive,
      isViewOld: () => false,
      getRandom: random,
    });
    this.items = VersionItems.create({ ...kept, history });
  }

  get name(): string {
    return `m${this.index}`;
  }

  addEndpoint({ id, version }: SimulatedEndpoint): void {
    const endpoint = createKnownEndpoint({ id, service, softwareVersion: version });
    this.known.push(endpoint);
    this.history.addEndpoint(endpoint.record);
  }

  removeEndpoint(id: string): void {
    const index = this.known.findIndex((endpoint) => endpoint.id === id);
    if (index < 0) return;
    const [endpoint] = this.known.splice(index, 1);
    this.history.removeEndpoint(endpoint!.record);
  }
}
