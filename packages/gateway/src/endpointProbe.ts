/**
 * Asks an endpoint's address whether anybody listens there.
 * @module
 */
import { connect } from "node:net";
import { parseAddress } from "@gladewall/kernel";

/** What an attempt to connect shows. */
export enum ProbeResult {
  /** The address takes connections. */
  Listening = 1,
  /** Its machine answers that nobody listens: the process has ended. */
  Refused = 2,
  /** No answer, or one that says neither: the way there may be cut. */
  Unknown = 3,
}

const refusedCode = "ECONNREFUSED";

/** Opens one connection and closes it again. Never rejects. */
export function probeEndpoint(address: string, timeoutMs: number): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    const finish = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(timeoutMs, () => finish(ProbeResult.Unknown));
    socket.once("connect", () => finish(ProbeResult.Listening));
    socket.once("error", ({ code }: NodeJS.ErrnoException) =>
      finish(code === refusedCode ? ProbeResult.Refused : ProbeResult.Unknown),
    );
  });
}
