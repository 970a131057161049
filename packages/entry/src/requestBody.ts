/**
 * Reads a request's body into memory up to a limit, and provides the rest of a larger body as a stream. Fails when the
 * sender sends no byte for the idle timeout.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** Limits of a body. */
export interface BodyLimits {
  /** Largest part of the body that is held in memory, bytes. */
  readonly maxHeldBytes: number;
  /** Largest body, bytes. */
  readonly maxTotalBytes: number;
  /** Longest time without a byte, milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A body. `rest` streams what follows `head`; it is undefined if `head` is the whole body. */
export interface RequestBody {
  readonly head: Uint8Array;
  readonly rest: AsyncIterable<Uint8Array> | undefined;
}

/** Carries a failure out of the stream of a body's rest, where an exception is the only way to report it. */
export class BodyFailure extends Error {
  constructor(readonly failure: Failure) {
    super(failure.text);
  }
}

/** Reads a body. Fails with `BodyTooLarge`, `BodyTooSlow`, or `BadRequest` if the connection closed before its end. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<RequestBody, Failure>> {
  const declared = Number(request.headers["content-length"] ?? "0");
  if (declared > limits.maxTotalBytes)
    return Err(Failure.create(FailureCode.BodyTooLarge, { limit: limits.maxTotalBytes }));
  const source = readChunks(request, limits, clock);
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    while (size <= limits.maxHeldBytes) {
      const next = await source.next();
      if (next.done) return Ok({ head: Buffer.concat(chunks), rest: undefined });
      chunks.push(next.value);
      size += next.value.length;
    }
  } catch (error) {
    if (error instanceof BodyFailure) return Err(error.failure);
    throw error;
  }
  return Ok({ head: Buffer.concat(chunks), rest: source });
}

async function* readChunks(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): AsyncGenerator<Uint8Array> {
  const iterator = request[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
  let size = 0;
  while (true) {
    const next = await readWithTimeout(iterator, limits.idleTimeoutMs, clock);
    if (next.done) break;
    size += next.value.length;
    if (size > limits.maxTotalBytes)
      throw new BodyFailure(Failure.create(FailureCode.BodyTooLarge, { limit: limits.maxTotalBytes }));
    yield next.value;
  }
  if (!request.complete)
    throw new BodyFailure(Failure.create(FailureCode.BadRequest, { detail: "the body was cut short" }));
}

function readWithTimeout(
  iterator: AsyncIterator<Uint8Array>,
  idleTimeoutMs: number,
  clock: Clock,
): Promise<IteratorResult<Uint8Array>> {
  return new Promise((resolve, reject) => {
    const timer = clock.startTimer(idleTimeoutMs, () =>
      reject(new BodyFailure(Failure.create(FailureCode.BodyTooSlow, { limit: idleTimeoutMs }))),
    );
    iterator.next().then(
      (value) => {
        timer.cancel();
        resolve(value);
      },
      () => {
        timer.cancel();
        reject(new BodyFailure(Failure.create(FailureCode.BadRequest, { detail: "the body was cut short" })));
      },
    );
  });
}
