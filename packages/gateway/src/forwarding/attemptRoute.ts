/**
 * The route of one attempt to its endpoint: over a connection of this instance, or through a peer if the service is cut off from this
 * instance. Records what the attempt shows about the paths.
 * @module
 */
import { destroyIdleSockets, type Timer } from "@gladewall/kernel";
import { Attempt, AttemptOutcome, type AttemptOptions, type AttemptResult } from "../requests/attempt.js";
import { containThrows } from "../failures/containedFailures.js";
import type { Endpoint } from "../endpoints/endpoint.js";
import type { RequestContext } from "../requests/requestContext.js";
import { createForwardHeaders, ForwardResult, removeForwardHeaders } from "./forwardingProtocol.js";
import type { ForwardingPeer } from "./forwardingPeers.js";

/** What an attempt sends, whatever its route. */
export type AttemptContent = Omit<AttemptOptions, "pool" | "isForwarded" | "onConnect">;

/** A route that was chosen for an attempt. */
export interface AttemptRoute {
  /** Peer that the attempt is passed on through; undefined if it is sent over a connection of this instance. */
  readonly peer: ForwardingPeer | undefined;
  /** Starts the attempt. */
  send(content: AttemptContent): Attempt;
  /** Records the result, and resolves once it is known whether the service is cut off. */
  recordResult(result: AttemptResult): Promise<void>;
  /** Ends the route, once nothing more is received. */
  close(): void;
}

/**
 * Time without a response after which the paths of the service are checked, unless another of its endpoints is heard. Endpoints may
 * fall silent for about a second by themselves, so that the check decides, not the silence.
 */
const silenceCheckMs = 600;
/**
 * After this long without a sign of life of the service, a request that may run only once is sent over a new connection: an open one
 * may lead nowhere, and what was sent over it can't be sent again.
 */
const trustedMs = 1_000;

/** Chooses the route of an attempt; undefined if the endpoint can be reached neither directly nor through a peer. */
export function chooseRoute(context: RequestContext, endpoint: Endpoint): AttemptRoute | undefined {
  const { paths, forwarding } = context.parts;
  if (paths.isDirect(endpoint)) return DirectRoute.create(context, endpoint);
  const peer = forwarding.choose(endpoint.record.service);
  return peer && ForwardedRoute.create(context, endpoint, peer);
}

/** Whether an attempt was not passed on because of its peer, so that it can be passed on to the same endpoint through another. */
export function isPeerAtFault(route: AttemptRoute, { outcome, forwarded }: AttemptResult): boolean {
  if (!route.peer || outcome !== AttemptOutcome.NotSent) return false;
  return forwarded !== ForwardResult.Unreachable && forwarded !== ForwardResult.UnknownEndpoint;
}

/** Whether an attempt was interrupted at its endpoint, and not on the way through the peer. */
export function isEndpointAtFault(route: AttemptRoute, { forwarded }: AttemptResult): boolean {
  return route.peer === undefined || forwarded === ForwardResult.Lost;
}

class DirectRoute implements AttemptRoute {
  readonly peer = undefined;
  private timer: Timer | undefined;
  private stopWatching: () => void = () => undefined;

  private constructor(
    private readonly context: RequestContext,
    private readonly endpoint: Endpoint,
  ) {}

  static create(context: RequestContext, endpoint: Endpoint): DirectRoute {
    return new DirectRoute(context, endpoint);
  }

  send(content: AttemptContent): Attempt {
    const { context, endpoint } = this;
    const { paths, connections, clock } = context.parts;
    const pool = connections.get(endpoint);
    const isRepeatable = context.mayRunAgain();
    if (!isRepeatable && paths.getSilenceMs(endpoint.record.service) > trustedMs)
      destroyIdleSockets(pool.agent);
    const onConnect = (): void => paths.recordHeard(endpoint);
    const attempt = Attempt.create({ ...content, pool, onConnect });
    if (isRepeatable) {
      const abort = (): void => attempt.abort("the connection is silent");
      this.stopWatching = paths.watch(endpoint, { abort });
    }
    this.checkSilenceAfter(clock.getTime());
    return attempt;
  }

  async recordResult({ outcome, response }: AttemptResult): Promise<void> {
    const { context, endpoint } = this;
    const { paths } = context.parts;
    this.timer?.cancel();
    if (outcome === AttemptOutcome.NotSent && !context.isOver) return paths.check(endpoint);
    if (outcome === AttemptOutcome.NotSent || outcome === AttemptOutcome.Lost) return;
    paths.recordHeard(endpoint);
    const recordHeard = containThrows(() => paths.recordHeard(endpoint), context.fail);
    response?.message.on("data", recordHeard);
  }

  close(): void {
    this.timer?.cancel();
    this.stopWatching();
  }

  private checkSilenceAfter(sentAt: number): void {
    const { context, endpoint } = this;
    const { paths, clock } = context.parts;
    const checkSilence = (): void => {
      const silentMs = paths.getSilenceMs(endpoint.record.service);
      if (silentMs >= clock.getTime() - sentAt) paths.check(endpoint).catch(context.fail);
      this.checkSilenceAfter(sentAt);
    };
    this.timer = clock.startTimer(silenceCheckMs, containThrows(checkSilence, context.fail));
  }
}

class ForwardedRoute implements AttemptRoute {
  private readonly startedAt: number;

  private constructor(
    private readonly context: RequestContext,
    private readonly endpoint: Endpoint,
    readonly peer: ForwardingPeer,
  ) {
    this.startedAt = context.parts.clock.getTime();
  }

  static create(context: RequestContext, endpoint: Endpoint, peer: ForwardingPeer): ForwardedRoute {
    return new ForwardedRoute(context, endpoint, peer);
  }

  send(content: AttemptContent): Attempt {
    const { context, endpoint, peer } = this;
    const { forwarding, settings } = context.parts;
    const { method, target, body } = content;
    const request = {
      method,
      target,
      body,
      endpoint: endpoint.incarnation,
      sender: settings.instance.name,
      receiver: peer.name,
    };
    const { softwareVersion } = endpoint.record;
    const own = createForwardHeaders(settings.peers.secret, request, {
      workspace: context.workspace,
      softwareVersion,
    });
    const headers = [...removeForwardHeaders(content.headers), ...own];
    return Attempt.create({ ...content, headers, pool: forwarding.getPool(peer), isForwarded: true });
  }

  async recordResult({ outcome, forwarded, detail }: AttemptResult): Promise<void> {
    const { context, endpoint, peer } = this;
    const { forwarding, metrics, clock } = context.parts;
    const result = forwarded === undefined ? "NoReply" : ForwardResult[forwarded];
    if (!context.isOver) forwarding.recordEnd(endpoint.record.service, peer, forwarded);
    metrics.countForwarded(endpoint.record.service, result);
    context.log("forwarding.sent", {
      peer: peer.name,
      endpoint: endpoint.id,
      result,
      end: AttemptOutcome[outcome],
      detail,
      tookMs: Math.round(clock.getTime() - this.startedAt),
    });
  }

  close(): void {
    this.context.parts.forwarding.recordClosed(this.peer);
  }
}
