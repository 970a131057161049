/**
 * Probes whether an endpoint's address accepts connections.
 * @module
 */
import { connect } from "node:net";
import { parseAddress } from "@gladewall/kernel";

/** Result of a connection attempt. */
export enum ProbeResult {
  /** The address accepts connections. */
  Listening = 1,
  /** The machine refuses the connection, so no process listens there. */
  Refused = 2,
  /** No response, or another error: the network may be interrupted. */
  Unknown = 3,
}

const refusedCode = "ECONNREFUSED";

/** Opens one connection and closes it again. The promise never rejects. */
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
