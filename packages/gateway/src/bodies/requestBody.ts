/**
 * Reads the complete body of a caller's request, up to the configured size.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** Resolves with the body. Fails with `BodyTooLarge`, or with `CallerGone` if the caller aborted. */
export function readRequestBody(message: IncomingMessage, limit: number): Promise<Result<Buffer, Failure>> {
  const announced = Number(message.headers["content-length"] ?? 0);
  const tooLarge = Err(Failure.create(FailureCode.BodyTooLarge, { limit }));
  if (announced > limit) return Promise.resolve(tooLarge);
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    message.on("data", (part: Buffer) => {
      size += part.length;
      if (size > limit) resolve(tooLarge);
      else parts.push(part);
    });
    message.on("end", () => resolve(Ok(parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts))));
    message.on("error", () => resolve(Err(Failure.create(FailureCode.CallerGone))));
    message.on("close", () => resolve(Err(Failure.create(FailureCode.CallerGone))));
  });
}
