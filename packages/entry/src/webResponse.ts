/**
 * Writes a web service's response to a caller as its bytes arrive, with backpressure.
 * @module
 */
import type { ServerResponse } from "node:http";
import { Failure, FailureCode } from "@gladewall/kernel";
import { ResponseState } from "./responseLog.js";
import { waitForDrain } from "./drain.js";
import { sendMoved, sendProblem } from "./problem.js";
import type { ActiveRequest } from "./requests.js";

/**
 * Writes a response until it ends or until the signal aborts because the caller left. Closes the connection if the
 * response was interrupted.
 */
export async function writeWebResponse(
  response: ServerResponse,
  request: ActiveRequest,
  signal: AbortSignal,
): Promise<void> {
  const { log, envelope } = request;
  await log.waitForHead();
  if (signal.aborted) return;
  if (!log.head && log.state === ResponseState.Moved) return sendMoved(response, envelope.id);
  // A response that has failed before its first byte is sent is reported as a problem. Only one that fails after its
  // head was sent has to close the connection.
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
  // The head is sent, so closing the connection is the only way to signal an incomplete body.
  if (log.state !== ResponseState.Complete) return void response.destroy();
  response.end();
}
