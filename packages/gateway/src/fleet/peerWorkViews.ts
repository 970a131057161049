/**
 * Work at endpoints as each peer last reported it, and its sum over all peers.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { type EndpointWork, sumWork } from "../endpoints/endpointWork.js";
import { reportLifetimeMs } from "./silentPeers.js";

interface PeerView {
  readonly work: EndpointWork;
  readonly receivedAt: number;
}

/** Work of all peers. */
export class PeerWorkViews {
  private readonly views = new Map<string, PeerView>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PeerWorkViews {
    return new PeerWorkViews(clock);
  }

  /** Replaces the known work of a peer by its new report. */
  setPeer(peer: string, work: EndpointWork): void {
    this.views.set(peer, { work, receivedAt: this.clock.getTime() });
  }

  /** Adds a request that a peer has just sent to an endpoint; the peer's next report includes it. */
  addPlacement(peer: string, endpoint: string, tokens: number): void {
    const view = this.views.get(peer) ?? { work: {}, receivedAt: this.clock.getTime() };
    const [active, pendingTokens] = view.work[endpoint] ?? [0, 0];
    const work = { ...view.work, [endpoint]: [active + 1, pendingTokens + tokens] as const };
    this.views.set(peer, { ...view, work });
  }

  /** Sum over the peers with a recent report; older reports say nothing about a peer's present work. */
  getSum(): EndpointWork {
    const oldestAt = this.clock.getTime() - reportLifetimeMs;
    const recent = [...this.views.values()].filter(({ receivedAt }) => receivedAt >= oldestAt);
    return sumWork(recent.map(({ work }) => work));
  }
}
