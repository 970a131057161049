/**
 * Fake weight store: returns the sizes of models, adapters and versions, with a rate limit.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, type Closeable, SystemClock } from "@gladewall/kernel";
import { FakeHttpServer, sendJson } from "./fakeHttpServer.js";

const millisecondsPerSecond = 1000;

/** The server of the store. */
export class FakeWeightStore implements Closeable {
  /** Number of fetches allowed per second; more are refused with 429. */
  fetchesPerSecond = 4;
  private windowStart = 0;
  private windowCount = 0;
  private server: FakeHttpServer | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly sizes: ReadonlyMap<string, number>,
  ) {}

  /** Starts a store with the given weights; sizes are in bytes. */
  static async create(
    sizes: ReadonlyMap<string, number>,
    clock: Clock = SystemClock.create(),
  ): Promise<FakeWeightStore> {
    const fake = new FakeWeightStore(clock, sizes);
    fake.server = await FakeHttpServer.create((request, response, url) =>
      fake.handle(request, response, url),
    );
    return fake;
  }

  get address(): string {
    return this.server?.address ?? "";
  }

  async close(): Promise<void> {
    await this.server?.close();
  }

  private async handle(_request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    const size = this.sizes.get(decodeURIComponent(url.pathname.slice("/v1/weights/".length)));
    if (size === undefined) return sendJson(response, 404, {});
    if (!this.tryTakeSlot()) {
      response.setHeader("retry-after", "1");
      return sendJson(response, 429, {});
    }
    sendJson(response, 200, { size });
  }

  private tryTakeSlot(): boolean {
    const now = this.clock.getTime();
    if (now - this.windowStart >= millisecondsPerSecond) {
      this.windowStart = now;
      this.windowCount = 0;
    }
    this.windowCount += 1;
    return this.windowCount <= this.fetchesPerSecond;
  }
}
