/**
 * Reads the complete body of a request, up to the configured size. Bodies of all requests together take a bounded part of the memory:
 * the next one is read once there is room for it.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { BodyBuffer } from "./bodyBuffer.js";
import { containThrows } from "../failures/containedFailures.js";
import type { HeldBytes, HeldShare } from "./heldBytes.js";
import { pauseConnection, resumeConnection } from "./readPause.js";

/** Bounds of a body. */
export interface RequestBodyBounds {
  /** Bytes of one body. */
  readonly limit: number;
  /** The bytes of all requests' bodies that are held. */
  readonly held: HeldBytes;
}

/** A body, which counts as held until it is released. */
export interface RequestBody {
  readonly bytes: Buffer;
  readonly release: () => void;
}

/** A body is read up to this size without waiting for room. */
const smallBodyBytes = 65_536;

/** Resolves with the body. Fails with `BodyTooLarge`, or with `CallerGone` if the caller aborted. */
export async function readRequestBody(
  message: IncomingMessage,
  { limit, held }: RequestBodyBounds,
): Promise<Result<RequestBody, Failure>> {
  const { "content-length": length } = message.headers;
  const announced = length === undefined ? undefined : Number(length);
  if (announced !== undefined && announced > limit) return Err(createTooLarge(limit));
  const share = held.open();
  const body = BodyBuffer.create(announced);
  const gone = new Promise<void>((resolve) => message.once("close", resolve));
  if (announced !== undefined) await reserve(share, announced, gone);
  const isComplete = await receive(message, body, share, {
    limit,
    gone,
    isAnnounced: announced !== undefined,
  });
  if (isComplete.isOk()) return Ok({ bytes: body.take(), release: () => share.close() });
  share.close();
  // What is left of a refused body is read by whoever refuses it.
  resumeConnection(message);
  return isComplete;
}

interface ReceiveOptions {
  readonly limit: number;
  /** Resolves when nothing more is received. */
  readonly gone: Promise<void>;
  readonly isAnnounced: boolean;
}

function receive(
  message: IncomingMessage,
  body: BodyBuffer,
  share: HeldShare,
  { limit, gone, isAnnounced }: ReceiveOptions,
): Promise<Result<void, Failure>> {
  return new Promise((resolve, reject) => {
    const fail = (): void => resolve(Err(Failure.create(FailureCode.CallerGone)));
    if (message.destroyed) return fail();
    let isReserved = isAnnounced;
    const add = (part: Buffer): void => {
      if (body.length + part.length > limit) resolve(Err(createTooLarge(limit)));
      else body.add(part);
      if (isReserved || body.length <= smallBodyBytes) return;
      // Nothing tells how long it will be.
      isReserved = true;
      pauseConnection(message);
      void reserve(share, limit, gone).then(() => resumeConnection(message), reject);
    };
    message.on("data", containThrows(add, reject));
    message.on("end", () => resolve(Ok(undefined)));
    message.on("error", fail);
    message.on("close", fail);
  });
}

/** Resolves once there is room for a body, or nothing more of it is received. */
async function reserve(share: HeldShare, bytes: number, gone: Promise<void>): Promise<void> {
  if (bytes <= smallBodyBytes) share.set(bytes);
  else await Promise.race([share.reserve(bytes), gone]);
}

function createTooLarge(limit: number): Failure {
  return Failure.create(FailureCode.BodyTooLarge, { limit });
}
