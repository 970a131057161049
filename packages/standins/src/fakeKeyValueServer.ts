/**
 * Fake of the platform's key-value service: HTTP with JSON, base64 values, blocking reads, compare-and-swap
 * transactions, and sessions that hold locks. It can be made unavailable or slow, lose responses, or miss changes in
 * watches.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, type Closeable, SystemClock, waitFor } from "@gladewall/kernel";
import { FakeHttpServer, readText, sendJson } from "./fakeHttpServer.js";
import { MemoryStore, type StoreEntry } from "./memoryStore.js";

/** Fault of the server, until it is changed. */
export enum KeyValueFault {
  None = 0,
  /** Connections are closed before a request has any effect. */
  Down = 1,
  /** Every call is delayed by `delay` milliseconds. */
  Slow = 2,
  /** Writes take effect, then the connection is closed without a response. */
  ResponseLost = 3,
  /** Watches block until their time is over, although the key changed. */
  MissedWatches = 4,
}

/** Numbers of calls since the start. */
export interface KeyValueCalls {
  reads: number;
  writes: number;
  watches: number;
}

interface Operation {
  readonly KV: {
    readonly Verb: string;
    readonly Key: string;
    readonly Value: string;
    readonly Index: number;
  };
}

const valueLimit = 1_048_576;
const kvPrefix = "/v1/kv/";

/** The server of the service. */
export class FakeKeyValueServer implements Closeable {
  readonly calls: KeyValueCalls = { reads: 0, writes: 0, watches: 0 };
  private fault = KeyValueFault.None;
  private delay = 0;
  private server: FakeHttpServer | undefined;

  private constructor(
    private readonly clock: Clock,
    readonly store: MemoryStore,
  ) {}

  static async create(clock: Clock = SystemClock.create()): Promise<FakeKeyValueServer> {
    const fake = new FakeKeyValueServer(clock, MemoryStore.create(clock));
    fake.server = await FakeHttpServer.create((request, response, url) =>
      fake.handle(request, response, url),
    );
    return fake;
  }

  /** `host:port` of the service. */
  get address(): string {
    return this.server?.address ?? "";
  }

  /** Sets the fault; `None` ends it. `delay` is in milliseconds. */
  setFault(fault: KeyValueFault, delay = 0): void {
    this.fault = fault;
    this.delay = delay;
    if (fault === KeyValueFault.Down) this.store.wakeAll();
  }

  async close(): Promise<void> {
    this.store.wakeAll();
    await this.server?.close();
  }

  private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    const body = await readText(request);
    if (this.fault === KeyValueFault.Down) return void response.destroy();
    if (this.fault === KeyValueFault.Slow) await waitFor(this.clock, this.delay);
    if (request.method === "GET" && url.pathname.startsWith(kvPrefix)) return this.handleRead(response, url);
    if (request.method !== "PUT") return sendJson(response, 405, {});
    this.calls.writes += 1;
    const [status, result] = this.handleWrite(url, body);
    if (this.fault === KeyValueFault.ResponseLost) return void response.destroy();
    sendJson(response, status, result);
  }

  private async handleRead(response: ServerResponse, url: URL): Promise<void> {
    const key = decodeURIComponent(url.pathname.slice(kvPrefix.length));
    const index = url.searchParams.get("index");
    if (index === null) {
      this.calls.reads += 1;
    } else {
      this.calls.watches += 1;
      await this.waitForChange(key, Number(index), Number(url.searchParams.get("wait") ?? "0"));
      if (this.isDown()) return void response.destroy();
    }
    const entry = this.store.get(key);
    if (!entry) return sendJson(response, 404, []);
    sendJson(response, 200, [formatEntry(key, entry)]);
  }

  private isDown(): boolean {
    return this.fault === KeyValueFault.Down;
  }

  private async waitForChange(key: string, revision: number, wait: number): Promise<void> {
    if (this.fault === KeyValueFault.MissedWatches) return waitFor(this.clock, wait);
    await this.store.waitForChange(key, revision, wait);
  }

  private handleWrite(url: URL, body: string): [number, unknown] {
    if (url.pathname === "/v1/txn") return this.swap(JSON.parse(body) as Operation[]);
    const session = /^\/v1\/session\/(create|renew|destroy)(?:\/([^/]+))?$/.exec(url.pathname);
    if (session) return this.handleSession(session[1] ?? "", session[2] ?? "", body);
    if (!url.pathname.startsWith(kvPrefix)) return [404, {}];
    const key = decodeURIComponent(url.pathname.slice(kvPrefix.length));
    const lockCount = this.store.tryAcquireLock(
      key,
      Buffer.from(body),
      url.searchParams.get("acquire") ?? "",
    );
    return [200, { Acquired: lockCount !== undefined, LockIndex: lockCount ?? 0 }];
  }

  private swap(operations: readonly Operation[]): [number, unknown] {
    const operation = operations[0]?.KV;
    if (!operation || operations.length !== 1 || operation.Verb !== "cas") return [400, {}];
    const value = Buffer.from(operation.Value, "base64");
    if (value.length > valueLimit) return [413, {}];
    const revision = this.store.tryCompareAndSwap(operation.Key, value, operation.Index);
    if (revision === undefined) return [409, { Errors: [{ OpIndex: 0, What: "index is stale" }] }];
    return [200, { Results: [{ KV: { Key: operation.Key, ModifyIndex: revision } }] }];
  }

  private handleSession(verb: string, id: string, body: string): [number, unknown] {
    if (verb === "create") {
      const { TTL } = JSON.parse(body) as { TTL: number };
      return [200, { ID: this.store.createSession(TTL) }];
    }
    if (verb === "renew") return this.store.tryRenewSession(id) ? [200, { ID: id }] : [404, {}];
    this.store.endSession(id);
    return [200, true];
  }
}

function formatEntry(key: string, entry: StoreEntry): unknown {
  return {
    Key: key,
    Value: Buffer.from(entry.value).toString("base64"),
    ModifyIndex: entry.revision,
    LockIndex: entry.lockCount,
    Session: entry.session,
  };
}
