/**
 * A resumable stream of a few events, which endpoints send as a test states, and callers who take it up.
 * @module
 */
import { type CallResult, CallerEnd, RawFraming, respondRaw, type RawResponse } from "@gladewall/standins";
import { resumablePath, type startCutOffFleet } from "./cutOffFleet.js";

type CutOffFleet = Awaited<ReturnType<typeof startCutOffFleet>>;

/** Events of the stream. */
export const events = [
  "id: 1\ndata: a\n\n",
  "id: 2\ndata: b\n\n",
  "id: 3\ndata: c\n\n",
  "id: 4\ndata: d\n\n",
];

/** The whole stream. */
export const stream = events.join("");

/** All framings of a response. */
export const framings = [RawFraming.Length, RawFraming.Chunked, RawFraming.Unframed];

/** Response of one attempt. */
export interface ScriptedAttempt extends Omit<RawResponse, "body"> {
  /** Id after which the endpoint begins; the one that it was asked to continue after if omitted. */
  readonly after?: number;
  /** Events that are sent; all that are left if omitted. */
  readonly count?: number;
  /** Whether the endpoint ends once it has sent the response. */
  readonly ends?: boolean;
}

/** Lets the endpoints that are called one after the other respond as given, and all further ones whole. Returns the ids that arrived. */
export function script({ endpoints }: CutOffFleet, ...attempts: readonly ScriptedAttempt[]): number[] {
  const received: number[] = [];
  for (const endpoint of endpoints) {
    endpoint.script = (call) => {
      const lastEventId = Number(call.headers["last-event-id"] ?? 0);
      const attempt = attempts[received.length] ?? { framing: RawFraming.Chunked };
      received.push(lastEventId);
      const left = events.slice(attempt.after ?? lastEventId);
      const sentBytes = left.slice(0, attempt.count).join("").length;
      respondRaw(call, { ...attempt, body: left.join(""), sentBytes });
      if (attempt.ends) call.socket.once("finish", () => void endpoint.stopListening());
    };
  }
  return received;
}

/** Returns the id of the last event that a caller received whole. */
function getLastId(text: string): string {
  return [...text.matchAll(/^id: (\d+)\n.*\n\n/gm)].at(-1)?.[1] ?? "0";
}

/** Takes a stream up until it ends without being broken off, as callers do; returns the joined bodies and the last end. */
export async function callUntilEnded(
  { bench }: CutOffFleet,
  begin: string,
  tries: number,
): Promise<Pick<CallResult, "body" | "end">> {
  let text = begin;
  for (let tried = 1; tried <= tries; tried++) {
    const resumed = text !== "" && { headers: { "last-event-id": getLastId(text) } };
    const { body, end } = await bench.call(bench.instances[0]!, {
      method: "POST",
      path: resumablePath,
      ...resumed,
    });
    text += body;
    if (end !== CallerEnd.Broken) return { body: text, end };
  }
  return { body: text, end: CallerEnd.Broken };
}
