// Stand-in of the platform's store and of its interface for orders, on one loopback port. It answers every call at once and keeps its
// state in memory; leases run out in time.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { setInterval, clearInterval, setTimeout, clearTimeout } from "node:timers";

const expiryIntervalMs = 20;
const pageSize = 500;
/** Time after which an idle connection is closed. */
const idleTimeoutMs = 60_000;

function encode(text) {
  return Buffer.from(text).toString("base64");
}

function send(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(body === undefined ? undefined : JSON.stringify(body));
}

/** The store and its state. */
class Store {
  items = new Map();
  leases = new Map();
  changes = [];
  waiting = new Set();
  /** Calls to the interface for orders, with the time at which each arrived. */
  orders = [];
  revision = 0;
  lastLease = 77_000;
  server = createServer({ keepAliveTimeout: idleTimeoutMs }, (message, response) =>
    this.receive(message, response),
  );
  expiry = setInterval(() => this.endLapsedLeases(), expiryIntervalMs);

  get address() {
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Writes a key as the operator or a runner does. */
  put(key, value) {
    this.revision += 1;
    this.write(key, encode(JSON.stringify(value)), 0);
    this.notify();
  }

  remove(key) {
    this.revision += 1;
    this.erase(key);
    this.notify();
  }

  close() {
    clearInterval(this.expiry);
    this.server.closeAllConnections();
    this.server.close();
  }

  notify() {
    for (const check of [...this.waiting]) check();
  }

  write(key, value, lease) {
    const { revision } = this;
    const item = { key, value, revision, made: this.items.get(key)?.made ?? revision, lease };
    this.items.set(key, item);
    this.changes.push(item);
  }

  erase(key) {
    if (this.items.delete(key)) this.changes.push({ key, revision: this.revision, gone: true });
  }

  endLapsedLeases() {
    const time = performance.now();
    for (const [id, { endsAt }] of this.leases) if (endsAt <= time) this.endLease(id);
  }

  endLease(id) {
    if (!this.leases.delete(id)) return false;
    const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
    if (keys.length > 0) this.revision += 1;
    for (const key of keys) this.erase(key);
    this.notify();
    return true;
  }

  transact({ expected_rev: expected = [], put = [], delete: removed = [] }) {
    const { items } = this;
    if (expected.some(({ key, revision }) => (items.get(key)?.revision ?? 0) !== revision)) {
      return [412, { entries: expected.flatMap(({ key }) => (items.has(key) ? [items.get(key)] : [])) }];
    }
    if (put.some(({ lease }) => lease && !this.leases.has(lease))) return [404];
    if (put.some(({ key }) => key.startsWith("op/") || key.startsWith("servers/"))) return [403];
    this.revision += 1;
    for (const { key, value, lease = 0 } of put) this.write(key, value, lease);
    for (const key of removed) this.erase(key);
    this.notify();
    return [200, { revision: this.revision }];
  }

  getPage(query) {
    const prefix = query.get("path_prefix") ?? "";
    const after = query.get("since_rev") ?? "";
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const entries = keys.slice(0, pageSize).map((key) => this.items.get(key));
    return { entries, more: keys.length > pageSize, at: this.revision };
  }

  watch(query, response) {
    const prefix = query.get("path_prefix") ?? "";
    const since = Number(query.get("since_rev"));
    const find = () => this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > since);
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      if (!response.writableEnded) send(response, 200, { events: find(), at: this.revision });
    };
    const check = () => {
      if (find().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get("wait_ms")));
    this.waiting.add(check);
    response.on("close", finish);
    check();
  }

  grantLease(ttlMs) {
    this.lastLease += 1;
    this.leases.set(this.lastLease, { ttlMs, endsAt: performance.now() + ttlMs });
    return [200, { lease: this.lastLease, ttl_ms: ttlMs }];
  }

  renewLease(id) {
    const lease = this.leases.get(id);
    if (!lease) return [404];
    lease.endsAt = performance.now() + lease.ttlMs;
    return [200, { ttl_ms: lease.ttlMs }];
  }

  readItem(key) {
    const item = this.items.get(key);
    return item ? [200, { ...item, at: this.revision }] : [404];
  }

  handle(method, { pathname, searchParams }, body) {
    const [, group, name, id] = pathname.split("/");
    if (group !== "gladewall") return [200];
    const calls = {
      "GET kv-key": () => this.readItem(searchParams.get("key")),
      "GET kv-range": () => [200, this.getPage(searchParams)],
      "POST kv-txn": () => this.transact(body),
      "POST kv-lease": () => this.grantLease(body.ttl_ms),
      "POST kv-keep": () => this.renewLease(Number(id)),
      "DELETE kv-lease-end": () => (this.endLease(Number(id)) ? [200] : [404]),
    };
    return calls[`${method} ${name}`]?.() ?? [404];
  }

  receive(message, response) {
    const parts = [];
    message.on("data", (part) => parts.push(part));
    message.on("end", () => {
      const url = new URL(message.url, "http://store");
      const text = Buffer.concat(parts).toString("utf8");
      const body = text === "" ? undefined : JSON.parse(text);
      if (!url.pathname.startsWith("/gladewall/")) {
        this.orders.push({ at: performance.now(), path: url.pathname, headers: message.headers, body });
      }
      if (url.pathname === "/gladewall/kv-watch") return this.watch(url.searchParams, response);
      const [status, result] = this.handle(message.method, url, body);
      send(response, status, result);
    });
  }
}

/** Starts a store. */
export async function startStore() {
  const store = new Store();
  await new Promise((resolve) => store.server.listen(0, "127.0.0.1", resolve));
  return store;
}
