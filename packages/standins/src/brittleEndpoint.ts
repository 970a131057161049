/**
 * Endpoint that runs a few requests at once, lets a few wait, and crashes if it has to refuse too many within a second. It is back
 * after a while.
 * @module
 */
import type { Closeable } from "@gladewall/kernel";
import { type EndpointRequest, respondNotRun, respondSuccess, ScriptedEndpoint } from "./scriptedEndpoint.js";

/** Options of a brittle endpoint. */
export interface BrittleEndpointOptions {
  readonly slots: number;
  /** Milliseconds that one request takes. */
  readonly workMs: number;
  /** Milliseconds after a crash until it is back. */
  readonly downMs: number;
}

const windowMs = 1_000;

/** An endpoint of one test. It is robust until `beginBrittle`. */
export class BrittleEndpoint implements Closeable {
  /** Number of crashes since `beginBrittle`. */
  crashes = 0;
  /** Requests that were refused for want of room. */
  refusals = 0;
  private limit: number | undefined;
  private maxWaiting = Infinity;
  private running = 0;
  private waiting: EndpointRequest[] = [];
  private refusedAt: number[] = [];
  private isDown = false;
  private isClosed = false;

  private constructor(
    private readonly endpoint: ScriptedEndpoint,
    private readonly options: BrittleEndpointOptions,
  ) {
    endpoint.script = (call) => this.handle(call);
  }

  static async create(id: string, options: BrittleEndpointOptions): Promise<BrittleEndpoint> {
    return new BrittleEndpoint(await ScriptedEndpoint.create(id), options);
  }

  get id(): string {
    return this.endpoint.id;
  }

  get address(): string {
    return this.endpoint.address;
  }

  /** Announces from now on that it crashes if it refuses more than `limit` requests in a second. */
  announce(limit: number): void {
    this.limit = limit;
  }

  /** Lets only a few requests wait from now on, and crashes as announced. */
  beginBrittle(maxWaiting: number): void {
    this.maxWaiting = maxWaiting;
  }

  /** Is robust again. */
  end(): void {
    this.limit = undefined;
    this.maxWaiting = Infinity;
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.endpoint.close();
  }

  private handle(call: EndpointRequest): void {
    const { slots } = this.options;
    if (this.isDown) return void call.socket.destroy();
    if (this.limit !== undefined) call.response.setHeader("x-brittle", String(this.limit));
    if (this.running < slots) return this.run(call);
    if (this.waiting.length < this.maxWaiting) return void this.waiting.push(call);
    this.refuse(call);
  }

  private run(call: EndpointRequest): void {
    this.running += 1;
    setTimeout(() => this.finish(call), this.options.workMs);
  }

  private finish(call: EndpointRequest): void {
    if (this.isDown || this.isClosed) return;
    this.running -= 1;
    this.setLoad(call);
    respondSuccess(call);
    const next = this.waiting.shift();
    if (next) this.run(next);
  }

  private refuse(call: EndpointRequest): void {
    this.refusals += 1;
    this.setLoad(call);
    respondNotRun(call);
    const time = performance.now();
    this.refusedAt = [...this.refusedAt.filter((at) => at > time - windowMs), time];
    if (this.refusedAt.length > (this.limit ?? Infinity)) void this.crash();
  }

  private setLoad({ response }: EndpointRequest): void {
    const { running, waiting } = this;
    response.setHeader("x-load", `${running},${waiting.length},${this.options.slots}`);
  }

  private async crash(): Promise<void> {
    this.crashes += 1;
    this.isDown = true;
    this.waiting = [];
    this.refusedAt = [];
    await this.endpoint.stopListening();
    setTimeout(() => void this.recover(), this.options.downMs);
  }

  private async recover(): Promise<void> {
    if (this.isClosed) return;
    this.running = 0;
    this.isDown = false;
    await this.endpoint.listenAgain();
  }
}
