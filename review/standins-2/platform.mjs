/**
 * Stand-in of the platform's store and of its interface for duties, on one loopback port, in memory. It does what the page on the
 * protocol says and nothing more: linearizable answers, one counter of revisions, leases, long polls and transactions.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";

/** The platform of one case. */
export class Platform {
  items = new Map();
  changes = [];
  revision = 0;
  leases = new Map();
  nextLease = 1;
  /** Duty calls that arrived: time, path, holder, fence and body. */
  duties = [];
  /** Decides what becomes of a call; returns "busy", "silent" or "reset" for a call that meets a disruption, else undefined. */
  decideFault = () => undefined;
  #watchers = new Set();
  #server = createServer((message, response) => void this.#receive(message, response));
  #timer = setInterval(() => this.#expire(), 50);

  async open(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a key as the operator or a runner does. */
  put(key, value, lease = 0) {
    this.#apply([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease }], []);
  }

  remove(key) {
    this.#apply([], [key]);
  }

  /** Applies one transaction: all of its changes have the same revision. */
  #apply(puts, removed) {
    this.revision += 1;
    const { revision } = this;
    for (const { key, value, lease = 0 } of puts) {
      const made = this.items.get(key)?.made ?? revision;
      const item = { key, value, revision, made, lease };
      this.items.set(key, item);
      this.changes.push(item);
    }
    for (const key of removed) if (this.items.delete(key)) this.changes.push({ key, revision, gone: true });
    for (const check of [...this.#watchers]) check();
  }

  #expire() {
    for (const [id, lease] of this.leases) if (lease.endsAt <= Date.now()) this.#endLease(id);
  }

  #endLease(id) {
    this.leases.delete(id);
    const keys = [...this.items.values()].filter((item) => item.lease === id).map(({ key }) => key);
    if (keys.length > 0) this.#apply([], keys);
  }

  async #receive(message, response) {
    const chunks = [];
    try {
      for await (const chunk of message) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const body = text === "" ? undefined : JSON.parse(text);
    const url = new URL(message.url, "http://store");
    const fault = this.decideFault(message, url);
    if (fault === "silent") return;
    if (fault === "reset") return void message.socket.resetAndDestroy();
    if (fault === "busy") return answer(response, 503, {});
    this.#serve(message, url, body, response);
  }

  #serve({ method, headers }, url, body, response) {
    const [, , name, id] = url.pathname.split("/");
    const query = url.searchParams;
    if (method === "POST" && !url.pathname.startsWith("/gladewall/")) {
      const holder = headers["x-gladewall-duty-holder"];
      const fence = Number(headers["x-gladewall-fence-token"]);
      this.duties.push({ at: Date.now(), path: url.pathname, holder, fence, body });
      return answer(response, 200, {});
    }
    const { revision: at } = this;
    if (name === "kv-key") {
      const item = this.items.get(query.get("key"));
      return item ? answer(response, 200, { ...item, at }) : answer(response, 404, { at });
    }
    if (name === "kv-range") {
      const since = query.get("since_rev") ?? "";
      const found = [...this.items.values()].filter(({ key }) => key.startsWith(query.get("path_prefix")));
      const entries = found
        .filter(({ key }) => key > since)
        .sort((one, other) => (one.key < other.key ? -1 : 1));
      return answer(response, 200, { entries: entries.slice(0, 500), more: entries.length > 500, at });
    }
    if (name === "kv-watch") return this.#watch(query, response);
    if (name === "kv-txn") return this.#transact(body, response);
    if (name === "kv-lease") {
      const lease = this.nextLease++;
      this.leases.set(lease, { ttlMs: body.ttl_ms, endsAt: Date.now() + body.ttl_ms });
      return answer(response, 200, { lease, ttl_ms: body.ttl_ms });
    }
    if (name === "kv-keep") {
      const lease = this.leases.get(Number(id));
      if (!lease) return answer(response, 404, {});
      lease.endsAt = Date.now() + lease.ttlMs;
      return answer(response, 200, { ttl_ms: lease.ttlMs });
    }
    if (name === "kv-lease-end") {
      this.#endLease(Number(id));
      return answer(response, 200, {});
    }
    answer(response, 404, {});
  }

  #watch(query, response) {
    const prefix = query.get("path_prefix");
    const since = Number(query.get("since_rev"));
    const finish = () => {
      clearTimeout(timer);
      this.#watchers.delete(check);
    };
    const check = () => {
      const events = this.changes.filter(({ key, revision }) => revision > since && key.startsWith(prefix));
      if (events.length === 0) return;
      finish();
      answer(response, 200, { events, at: this.revision });
    };
    const timer = setTimeout(
      () => {
        finish();
        answer(response, 200, { events: [], at: this.revision });
      },
      Number(query.get("wait_ms")),
    );
    this.#watchers.add(check);
    response.once("close", finish);
    check();
  }

  #transact({ expected_rev: expected = [], put = [], delete: removed = [] }, response) {
    const isHeld = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision);
    if (!isHeld) {
      const entries = expected.flatMap(({ key }) => this.items.get(key) ?? []);
      return answer(response, 412, { entries });
    }
    if (put.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return answer(response, 404, {});
    this.#apply(put, removed);
    answer(response, 200, { revision: this.revision });
  }
}

function answer(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "Content-Type": "application/json" });
  response.end(JSON.stringify(body));
}
