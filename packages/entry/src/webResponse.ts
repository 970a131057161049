/**
 * Writes a web service's answer to a caller, byte by byte as it comes, with back-pressure.
 * @module
 */
import type { ServerResponse } from "node:http";
import { Failure, FailureCode } from "@gladewall/kernel";
import { ResponseState } from "./responseLog.js";
import { waitForDrain } from "./drain.js";
import { sendMoved, sendProblem } from "./problem.js";
import type { ActiveRequest } from "./requests.js";

/** Writes an answer until its end or until the caller left; a cut answer cuts the connection. */
export async function writeWebResponse(
  response: ServerResponse,
  request: ActiveRequest,
  signal: AbortSignal,
): Promise<void> {
  const { log, envelope } = request;
  await log.waitForHead();
  if (signal.aborted) return;
  if (!log.head && log.state === ResponseState.Moved) return sendMoved(response, envelope.id);
  // An answer that is already known to be cut is told as such; only one that breaks midway has to break the connection.
  if (!log.head || log.state === ResponseState.Failed) {
    const failure = log.failure ?? Failure.create(FailureCode.Internal, { detail: "the answer has no head" });
    return sendProblem(response, failure, envelope.id);
  }
  if (!log.canFollow(0))
    return sendProblem(
      response,
      Failure.create(FailureCode.AnswerNoLongerHeld, { request: envelope.id }),
      envelope.id,
    );
  response.setHeader("gladewall-request", envelope.id);
  for (const [name, value] of log.head.headers) response.appendHeader(name, value);
  response.writeHead(log.head.status);
  for await (const chunk of log.follow(0, signal)) {
    if (!response.write(chunk.data)) await waitForDrain(response, signal);
  }
  if (signal.aborted) return;
  // Cutting the connection is the only way left to say that the body is not whole.
  if (log.state !== ResponseState.Complete) return void response.destroy();
  response.end();
}
