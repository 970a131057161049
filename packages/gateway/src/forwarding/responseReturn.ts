/**
 * Returns an endpoint's response to the instance that had its request passed on, as it comes, with what this instance knows of its
 * framing and its end.
 * @module
 */
import type { ServerResponse } from "node:http";
import { ReadGate, type ReadGateOptions } from "../bodies/readGate.js";
import { containThrows } from "../failures/containedFailures.js";
import {
  type EndedResponse,
  type EndpointResponse,
  getConsequence,
  readEnd,
} from "../responses/responseEnd.js";
import { isEventStream } from "../responses/streamRelay.js";
import {
  copyForwardedHeaders,
  createFramingHeader,
  createResultHeader,
  ForwardResult,
} from "./forwardingProtocol.js";

const statusBadGateway = 502;

/** What a response is returned with. */
export interface ReturnOptions extends Pick<ReadGateOptions, "clock" | "pace" | "fail"> {
  /** Looks for evidence on the response's end. */
  readonly check: (ended: EndedResponse) => Promise<EndedResponse>;
}

/**
 * Returns a response; one that was broken off is aborted, so that it does not look complete, and so is a stream whose end is doubtful.
 * Resolves with how it ended at the endpoint; undefined if the sender is gone. Rejects only if this instance itself fails.
 */
export function returnResponse(
  received: EndpointResponse,
  response: ServerResponse,
  { check, fail, clock, pace }: ReturnOptions,
): Promise<EndedResponse | undefined> {
  const { message } = received;
  if (response.destroyed) return Promise.resolve(undefined);
  writeHead(received, response);
  const gate = ReadGate.create(message, response, { clock, pace, fail });
  return new Promise((resolve) => {
    const write = (part: Buffer): void => {
      response.write(part);
      gate.record(part);
    };
    message.on("data", containThrows(write, fail));
    let hasEnded = false;
    const finish = async (): Promise<void> => {
      if (hasEnded) return;
      hasEnded = true;
      const ended = await check(readEnd(received));
      if (response.destroyed) return;
      resolve(ended);
      const { isFailure, mayClose } = getConsequence(ended);
      if (isFailure || (!mayClose && isEventStream(received))) response.destroy();
      else response.end();
    };
    message.on("end", () => void finish().catch(fail));
    message.on("close", () => void finish().catch(fail));
    response.on("close", () => {
      message.destroy();
      // After the end this has no effect, because a promise settles only once.
      resolve(undefined);
    });
  });
}

function writeHead({ message, framing }: EndpointResponse, response: ServerResponse): void {
  const headers = [
    ...copyForwardedHeaders(message.rawHeaders),
    ...createResultHeader(ForwardResult.Answered),
    ...createFramingHeader(framing),
  ];
  response.writeHead(message.statusCode ?? statusBadGateway, message.statusMessage, headers);
  response.flushHeaders();
}
