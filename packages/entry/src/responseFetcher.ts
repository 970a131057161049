/**
 * Makes the response of a request available at any entry: finds the entry that holds the request and mirrors its
 * response over the peer link.
 * @module
 */
import type { PeerIdentity, PeerLinks } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { ResponseState } from "./responseLog.js";
import type { EntrySettings } from "./entrySettings.js";
import { getEntryOfRequest } from "./envelope.js";
import {
  type CancelMessage,
  decodeChunk,
  encodeChunk,
  type FollowMessage,
  type FollowPart,
  type FollowReply,
  HoldState,
  type LocateMessage,
  type LocateReply,
  PeerKind,
  type WireChunk,
} from "./peerKinds.js";
import { ActiveRequest, type RequestRegistry, StopReason } from "./requests.js";
import { decodeFailure, encodeFailure } from "./wireFailure.js";

/** Dependencies of a response fetcher. */
export interface FetcherParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly links: PeerLinks;
  readonly requests: RequestRegistry;
  /** Returns whether this entry has a backup copy of a request. */
  readonly hasCopy: (request: string) => boolean;
}

/** A response that is being mirrored from its holder. */
interface Mirror {
  readonly request: ActiveRequest;
  readonly holder: string;
  readonly close: () => void;
}

const maxChunksPerPart = 64;
const outboxRetryIntervalMs = 10;

/** Finds and mirrors responses. */
export class ResponseFetcher {
  private readonly mirrors = new Map<number, Mirror>();
  /** Parts by stream that arrived before the reply to the call that requested the stream was processed. */
  private readonly earlyParts = new Map<number, FollowPart[]>();
  private nextStream = 1;

  private constructor(private readonly parts: FetcherParts) {
    const { links } = parts;
    links.setHandler(PeerKind.Locate, (message) => this.handleLocate(message as LocateMessage));
    links.setHandler(PeerKind.Follow, (message, peer) => this.handleFollow(message as FollowMessage, peer));
    links.setHandler(PeerKind.FollowPart, (message) => this.handlePart(message as FollowPart));
    links.setHandler(PeerKind.Cancel, (message) => this.handleCancel(message as CancelMessage));
    links.onLinkDown((peer) => this.handleHolderDown(peer));
  }

  static create(parts: FetcherParts): ResponseFetcher {
    return new ResponseFetcher(parts);
  }

  /**
   * Returns a request with its response: held by this entry, or mirrored from another. Waits up to `locate_patience`
   * while a copy exists whose holder may be lost. Fails with `RequestUnknown`.
   */
  async fetch(id: string): Promise<Result<ActiveRequest, Failure>> {
    const { clock, settings } = this.parts;
    const end = clock.getTime() + settings.backups.locate_patience;
    while (true) {
      const own = this.parts.requests.get(id);
      if (own && this.parts.requests.isHeld(id)) return Ok(own);
      const [holder, isCopied] = await this.locate(id);
      if (holder !== undefined) {
        const mirror = await this.openMirror(id, holder);
        if (mirror) return Ok(mirror);
      }
      const isUnavailable = !isCopied && holder === undefined && !this.parts.hasCopy(id);
      if (isUnavailable || clock.getTime() >= end)
        return Err(Failure.create(FailureCode.RequestUnknown, { request: id }));
      await waitFor(clock, settings.backups.locate_pause);
    }
  }

  /** Cancels a request at the entry that holds it. Its response then ends. */
  async cancel(request: ActiveRequest): Promise<void> {
    const mirror = [...this.mirrors.values()].find((candidate) => candidate.request === request);
    if (!mirror) return request.stop.abort(StopReason.CallerLeft);
    const message: CancelMessage = { kind: PeerKind.Cancel, request: request.envelope.id };
    await this.parts.links.call(mirror.holder, message, this.parts.settings.backups.ack_timeout);
  }

  private handleCancel(message: CancelMessage): boolean {
    const request = this.parts.requests.get(message.request);
    request?.stop.abort(StopReason.CallerLeft);
    return request !== undefined;
  }

  /** Queries the entry that accepted the request first, then all other linked entries. */
  private async locate(id: string): Promise<readonly [holder: string | undefined, isCopied: boolean]> {
    const { links } = this.parts;
    const first = getEntryOfRequest(id);
    if (links.isLinked(first) && (await this.askState(first, id)) === HoldState.Held) return [first, false];
    const others = links.getLinked().filter((name) => name !== first);
    const states = await Promise.all(others.map((name) => this.askState(name, id)));
    const holder = others[states.indexOf(HoldState.Held)];
    return [holder, states.includes(HoldState.Copied)];
  }

  private async askState(peer: string, request: string): Promise<HoldState> {
    const message: LocateMessage = { kind: PeerKind.Locate, request };
    const answer = await this.parts.links.call(peer, message, this.parts.settings.backups.ack_timeout);
    return answer.isOk() ? (answer.value as LocateReply).state : HoldState.None;
  }

  private handleLocate(message: LocateMessage): LocateReply {
    if (this.parts.requests.isHeld(message.request)) return { state: HoldState.Held };
    return { state: this.parts.hasCopy(message.request) ? HoldState.Copied : HoldState.None };
  }

  private async openMirror(id: string, holder: string): Promise<ActiveRequest | undefined> {
    const { links, settings, clock } = this.parts;
    const stream = this.nextStream++;
    const message: FollowMessage = { kind: PeerKind.Follow, request: id, stream };
    const pending: FollowPart[] = [];
    this.earlyParts.set(stream, pending);
    const answer = await links.call(holder, message, settings.backups.ack_timeout);
    this.earlyParts.delete(stream);
    const reply = answer.isOk() ? (answer.value as FollowReply) : undefined;
    if (!reply?.envelope) return undefined;
    const now = clock.getTime();
    const request = ActiveRequest.create(reply.envelope, settings.requests.hold_bytes, now, Infinity);
    request.attachedTo = reply.attachedTo;
    this.mirrors.set(stream, { request, holder, close: () => this.mirrors.delete(stream) });
    for (const part of pending) this.handlePart(part);
    return request;
  }

  private handlePart(part: FollowPart): void {
    const earlyParts = this.earlyParts.get(part.stream);
    if (earlyParts) {
      earlyParts.push(part);
      return;
    }
    const mirror = this.mirrors.get(part.stream);
    if (!mirror) return;
    const { log } = mirror.request;
    if (part.head) log.setHead(part.head);
    for (const chunk of part.chunks) void log.add(decodeChunk(chunk));
    if (part.isComplete) log.complete();
    if (part.failure) log.fail(decodeFailure(part.failure));
    if (part.isMoved) log.markMoved();
    if (log.state !== ResponseState.Open) mirror.close();
  }

  private handleHolderDown(peer: PeerIdentity): void {
    for (const mirror of [...this.mirrors.values()]) {
      if (mirror.holder !== peer.name) continue;
      // The caller is redirected to fetch the response again; by then the backup has taken the request over.
      mirror.request.log.markMoved();
      mirror.close();
    }
  }

  private handleFollow(message: FollowMessage, peer: PeerIdentity): FollowReply {
    const request = this.parts.requests.get(message.request);
    if (!request || request.log.state === ResponseState.Moved)
      return { envelope: undefined, attachedTo: undefined, isWhole: false };
    const isWhole = request.log.canFollow(0);
    if (isWhole) void this.sendResponse(request, message.stream, peer);
    return {
      envelope: { ...request.envelope, body: new Uint8Array(0) },
      attachedTo: request.attachedTo,
      isWhole,
    };
  }

  /** Sends a response's chunks as they arrive, several in one frame if several are available. */
  private async sendResponse(request: ActiveRequest, stream: number, peer: PeerIdentity): Promise<void> {
    const { log } = request;
    const stop = new AbortController();
    let chunks: WireChunk[] = [];
    let followedCount = 0;
    for await (const chunk of log.follow(0, stop.signal)) {
      chunks.push(encodeChunk(chunk));
      followedCount += 1;
      if (chunks.length < maxChunksPerPart && followedCount < log.count) continue;
      const isSent = await this.sendWithRetry(peer, this.createPart(request, stream, chunks, false));
      if (!isSent) return;
      chunks = [];
    }
    await this.sendWithRetry(peer, this.createPart(request, stream, chunks, true));
  }

  /** Sends a part, retrying while the peer's outbox is full; false if the link is lost. */
  private async sendWithRetry(peer: PeerIdentity, part: FollowPart): Promise<boolean> {
    while (!this.parts.links.send(peer.name, part)) {
      if (!this.parts.links.isLinked(peer.name)) return false;
      await waitFor(this.parts.clock, outboxRetryIntervalMs);
    }
    return true;
  }

  private createPart(
    request: ActiveRequest,
    stream: number,
    chunks: FollowPart["chunks"],
    isEnd: boolean,
  ): FollowPart {
    const { log } = request;
    return {
      kind: PeerKind.FollowPart,
      stream,
      head: log.head,
      chunks,
      isComplete: isEnd && log.state === ResponseState.Complete,
      failure: isEnd && log.failure ? encodeFailure(log.failure) : undefined,
      isMoved: isEnd && log.state === ResponseState.Moved,
    };
  }
}
