/**
 * Ports on loopback for processes that must know them before they listen.
 * @module
 */
import { createServer } from "node:net";

/** Below the ports that the system gives to connections, which took a port between its choice and its use. */
const lowestPort = 12_000;
const highestPort = 30_000;
/** Ports between the first ones of two processes with neighbouring numbers; a test file takes some hundreds. */
const portsPerProcess = 1_009;

let nextPort = lowestPort + ((process.pid * portsPerProcess) % (highestPort - lowestPort));

/** Returns addresses (`host:port`) on loopback that nobody listens at. */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    nextPort = nextPort >= highestPort ? lowestPort : nextPort + 1;
    if (await isFree(nextPort)) addresses.push(`127.0.0.1:${nextPort}`);
  }
  return addresses;
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
