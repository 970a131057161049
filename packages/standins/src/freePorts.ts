/**
 * Ports on loopback for processes that must know them before they listen. Test files that run beside each other take them from
 * blocks of their own: whoever listens at a block's first port has all of it.
 * @module
 */
import { createServer, type Server } from "node:net";

/** Below the ports that the system gives to connections, which took a port between its choice and its use. */
const lowestPort = 12_000;
const blockPorts = 100;
const blockCount = 180;

/** Gives out the ports of blocks that nobody else has. */
export class PortBlockAllocator {
  /** Listens at the present block's first port. */
  private holder: Server | undefined;
  private nextPort = 0;

  private constructor(private nextBlock: number) {}

  /** Begins to look for a block at one of them; any number will do. */
  static create(firstBlock: number): PortBlockAllocator {
    return new PortBlockAllocator(firstBlock % blockCount);
  }

  /** Returns addresses (`host:port`) on loopback that nobody listens at, and that no other owner of blocks is given. */
  async findFreeAddresses(count: number): Promise<readonly string[]> {
    const addresses: string[] = [];
    while (addresses.length < count) {
      if (this.holder === undefined || this.nextPort % blockPorts === 0) await this.takeBlock();
      const port = this.nextPort++;
      if (await isFree(port)) addresses.push(`127.0.0.1:${port}`);
    }
    return addresses;
  }

  /** Takes the next block; one that is used up is still held, as its ports may be listened at later. */
  private async takeBlock(): Promise<void> {
    for (let tried = 0; tried < blockCount; tried++) {
      const firstPort = lowestPort + this.nextBlock * blockPorts;
      this.nextBlock = (this.nextBlock + 1) % blockCount;
      const holder = await listenAt(firstPort);
      if (!holder) continue;
      // The block is held as long as the process lives, and does not keep it alive.
      this.holder = holder.unref();
      this.nextPort = firstPort + 1;
      return;
    }
    throw new Error("no block of ports is free");
  }
}

const ownBlocks = PortBlockAllocator.create(process.pid);

/** Returns addresses (`host:port`) on loopback that nobody listens at, and that no other process is given. */
export function findFreeAddresses(count: number): Promise<readonly string[]> {
  return ownBlocks.findFreeAddresses(count);
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenAt(port);
  if (!server) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Returns a server that listens at a port; undefined where another one does. */
function listenAt(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
