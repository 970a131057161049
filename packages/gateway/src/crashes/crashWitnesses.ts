/**
 * Checks with peers whether an endpoint that refuses connections has crashed. A path to an endpoint belongs to a pair: an instance
 * that has lost its paths meets refusals everywhere, while the endpoints serve its peers. A refusal therefore counts only if an instance
 * that reaches another endpoint meets it, this one or a peer, and only if no peer reaches this endpoint.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { Logger } from "@gladewall/kernel";
import type { Endpoint } from "../endpoints/endpoint.js";
import type { FleetTopology } from "../fleet/fleetBroadcast.js";
import type { CrashRecords } from "./crashRecords.js";
import { ProbeResult } from "./endpointProbe.js";

/** Number of the message; follows those of slots. */
const witnessKind = 51;

/** What an instance can say of an endpoint. The numbers are sent to peers, the names are written to the log. */
export enum Testimony {
  /** The endpoint refuses connections, and another endpoint accepts them. */
  Refuses = 1,
  /** The endpoint accepts connections. */
  Listens = 2,
  /** The instance reaches no endpoint, or does not know this one. */
  Unknown = 3,
}

interface WitnessCall extends PeerMessage {
  readonly kind: typeof witnessKind;
  /** Incarnation of the endpoint; undefined in the message that announces that this build replies to such calls. */
  readonly life?: string;
}

interface WitnessReply {
  readonly word: Testimony;
}

/** Options of the witnesses. */
export interface CrashWitnessesOptions {
  readonly fleet: Pick<FleetTopology, "links">;
  readonly logger: Logger;
  readonly records: CrashRecords;
  readonly probe: (address: string) => Promise<ProbeResult>;
  readonly findEndpoint: (incarnation: string) => Endpoint | undefined;
  readonly getAllEndpoints: () => Iterable<Endpoint>;
  /** Returns a number from 0 to 1, to choose the peers that are called. */
  readonly getRandom: () => number;
}

/** Peers that are called, so that one that is cut off itself does not decide. */
const calledPeers = 3;
/** Other endpoints that are probed: one of them may have crashed at the same moment. */
const comparedEndpoints = 3;
/** Longest time for a peer's reply; longer, a request that crashes endpoints would reach further ones meanwhile. */
const replyTimeoutMs = 80;

/** Testimonies of this instance and its peers. */
export class CrashWitnesses {
  /** Incarnations of peers that reply to calls, by name. */
  private readonly announced = new Map<string, number>();

  private constructor(private readonly options: CrashWitnessesOptions) {
    const { links } = options.fleet;
    links.setHandler(witnessKind, (message, peer) => this.handleMessage(message as WitnessCall, peer));
    links.onLinkUp((peer) => this.announce(peer));
  }

  static create(options: CrashWitnessesOptions): CrashWitnesses {
    return new CrashWitnesses(options);
  }

  /** Resolves with whether an endpoint that refused a connection of this instance has crashed. */
  async confirm(endpoint: Endpoint): Promise<boolean> {
    const { logger } = this.options;
    const [isSound, testimonies] = await Promise.all([
      this.canReachAnother(endpoint),
      this.callPeers(endpoint),
    ]);
    // A peer that says `Refuses` reaches another endpoint itself.
    const isRefused = isSound || testimonies.includes(Testimony.Refuses);
    const hasCrashed = isRefused && !testimonies.includes(Testimony.Listens);
    if (!hasCrashed) {
      const peers = testimonies.map((testimony) => Testimony[testimony]).join();
      logger.info("endpoint.end-unconfirmed", { life: endpoint.incarnation, reachesOthers: isSound, peers });
    }
    return hasCrashed;
  }

  private callPeers({ incarnation }: Endpoint): Promise<Testimony[]> {
    const { fleet, getRandom } = this.options;
    const peers = fleet.links.getLinked().filter((name) => this.announced.has(name));
    const ordered = peers.map((name) => ({ name, order: getRandom() }));
    ordered.sort((one, other) => one.order - other.order);
    return Promise.all(ordered.slice(0, calledPeers).map(({ name }) => this.callPeer(name, incarnation)));
  }

  private async callPeer(name: string, life: string): Promise<Testimony> {
    const message: WitnessCall = { kind: witnessKind, life };
    const reply = await this.options.fleet.links.call(name, message, replyTimeoutMs);
    const { word } = (reply.isOk() ? (reply.value ?? {}) : {}) as Partial<WitnessReply>;
    return word === Testimony.Refuses || word === Testimony.Listens ? word : Testimony.Unknown;
  }

  private handleMessage({ life }: WitnessCall, { name, incarnation }: PeerIdentity): unknown {
    this.announced.set(name, incarnation);
    return typeof life === "string" ? this.testify(life) : undefined;
  }

  private async testify(incarnation: string): Promise<WitnessReply> {
    const { findEndpoint, records, probe } = this.options;
    const endpoint = findEndpoint(incarnation);
    if (!endpoint) return { word: Testimony.Unknown };
    if (records.hasCrashed(incarnation)) return { word: Testimony.Refuses };
    const result = await probe(endpoint.record.address);
    if (result === ProbeResult.Listening) return { word: Testimony.Listens };
    if (result === ProbeResult.Unknown) return { word: Testimony.Unknown };
    return { word: (await this.canReachAnother(endpoint)) ? Testimony.Refuses : Testimony.Unknown };
  }

  /** Whether another endpoint accepts a connection; true if there is none to compare with. */
  private async canReachAnother({ incarnation }: Endpoint): Promise<boolean> {
    const { getAllEndpoints, records, probe } = this.options;
    const others = [...getAllEndpoints()].filter(
      (other) =>
        other.incarnation !== incarnation && other.isUsable() && !records.hasCrashed(other.incarnation),
    );
    if (others.length === 0) return true;
    others.sort(compareByLastResponse);
    const compared = others.slice(0, comparedEndpoints);
    const results = await Promise.all(compared.map(({ record }) => probe(record.address)));
    return results.includes(ProbeResult.Listening);
  }

  private announce({ name, incarnation }: PeerIdentity): void {
    if (this.announced.get(name) !== incarnation) this.announced.delete(name);
    const message: WitnessCall = { kind: witnessKind };
    this.options.fleet.links.send(name, message);
  }
}

/** Orders endpoints by their last response, the latest first. */
function compareByLastResponse(one: Endpoint, other: Endpoint): number {
  return Number(other.servedAt > one.servedAt) - Number(other.servedAt < one.servedAt);
}
