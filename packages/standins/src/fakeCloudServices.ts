/**
 * Fake of the platform's instance list and of the cloud's reclaim notices, on one HTTP server. Changes appear in the
 * list after a delay, notices at once.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type InstanceRecord, InstanceState } from "@gladewall/coordination";
import { type Clock, type Closeable, SystemClock, waitFor } from "@gladewall/kernel";
import { FakeHttpServer, sendJson } from "./fakeHttpServer.js";

/** Notice that an instance will be reclaimed at a time of the clock. */
interface Notice {
  readonly sequence: number;
  readonly instance: string;
  readonly incarnation: number;
  readonly due: number;
}

/** The server of the list and the notices. */
export class FakeCloudServices implements Closeable {
  /** Milliseconds after which a change appears in the list. */
  listLagMs = 0;
  /** Whether requests for the list are closed without a response. */
  isListDown = false;
  private readonly records = new Map<string, InstanceRecord>();
  private readonly listed = new Map<string, InstanceRecord>();
  private readonly notices: Notice[] = [];
  private waiters: (() => void)[] = [];
  private listVersion = 0;
  private server: FakeHttpServer | undefined;

  private constructor(private readonly clock: Clock) {}

  static async create(clock: Clock = SystemClock.create()): Promise<FakeCloudServices> {
    const server = new FakeCloudServices(clock);
    server.server = await FakeHttpServer.create((request, response, url) =>
      server.handle(request, response, url),
    );
    return server;
  }

  /** `host:port` of both interfaces. */
  get address(): string {
    return this.server?.address ?? "";
  }

  /** Adds or replaces an instance in the list, after its delay. */
  publish(record: InstanceRecord): void {
    this.records.set(record.id, record);
    this.changeList(() => this.listed.set(record.id, record));
  }

  /** Removes an instance from the list, after its delay. */
  remove(id: string): void {
    this.records.delete(id);
    this.changeList(() => this.listed.delete(id));
  }

  /** Gives notice that an instance will be reclaimed in `remaining` milliseconds. */
  reclaim(id: string, remaining: number): void {
    const record = this.records.get(id);
    if (!record) return;
    this.notices.push({
      sequence: this.notices.length + 1,
      instance: id,
      incarnation: record.incarnation,
      due: this.clock.getTime() + remaining,
    });
    this.publish({ ...record, state: InstanceState.Leaving });
    this.notifyWaiters();
  }

  async close(): Promise<void> {
    this.notifyWaiters();
    await this.server?.close();
  }

  /** Applies a change to the list after its delay. */
  private changeList(change: () => void): void {
    const apply = (): void => {
      this.listVersion += 1;
      change();
    };
    if (this.listLagMs === 0) apply();
    else this.clock.startTimer(this.listLagMs, apply);
  }

  private notifyWaiters(): void {
    const waiters = this.waiters;
    this.waiters = [];
    waiters.forEach((wake) => wake());
  }

  private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    if (url.pathname === "/v1/instances") return this.handleList(response, request.headers["if-none-match"]);
    if (url.pathname === "/v1/notices") return this.handleNotices(response, url);
    sendJson(response, 404, {});
  }

  private handleList(response: ServerResponse, knownTag: string | undefined): void {
    if (this.isListDown) return void response.destroy();
    const tag = `"${this.listVersion}"`;
    if (tag === knownTag) {
      response.writeHead(304, { etag: tag });
      return void response.end();
    }
    response.setHeader("etag", tag);
    sendJson(response, 200, { instances: [...this.listed.values()] });
  }

  private async handleNotices(response: ServerResponse, url: URL): Promise<void> {
    const after = Number(url.searchParams.get("after") ?? "0");
    const wait = Number(url.searchParams.get("wait") ?? "0");
    if (this.notices.length <= after) {
      const noticeGiven = new Promise<void>((resolve) => this.waiters.push(resolve));
      const timerEnd = new AbortController();
      await Promise.race([noticeGiven, waitFor(this.clock, wait, timerEnd.signal)]);
      timerEnd.abort();
    }
    const now = this.clock.getTime();
    const notices = this.notices.slice(after).map(({ instance, incarnation, due }) => ({
      instance,
      incarnation,
      remaining: Math.max(0, due - now),
    }));
    sendJson(response, 200, { notices, last: this.notices.length });
  }
}
