/**
 * Brittle endpoint on loopback: crashes if it has to refuse too many requests within a second, and is back after a while.
 * @module
 */
import type { Closeable } from "@gladewall/kernel";
import { BrittleWork } from "./brittleWork.js";
import { type EndpointRequest, respondNotRun, respondSuccess, ScriptedEndpoint } from "./scriptedEndpoint.js";

/** Options of a brittle endpoint. */
export interface BrittleEndpointOptions {
  readonly slots: number;
  /** Milliseconds that one request takes. */
  readonly workMs: number;
  /** Milliseconds after a crash until it is back. */
  readonly downMs: number;
  /** Tokens of its memory, of which a request holds those that its header `x-tokens` names; undefined if it needs none. */
  readonly tokenCapacity?: number | undefined;
}

/** An endpoint of one test. It is robust until `beginBrittle`. */
export class BrittleEndpoint implements Closeable {
  crashes = 0;
  private limit: number | undefined;
  private readonly work: BrittleWork;
  private isClosed = false;

  private constructor(
    private readonly endpoint: ScriptedEndpoint,
    private readonly options: BrittleEndpointOptions,
  ) {
    const { slots, workMs, tokenCapacity } = options;
    this.work = BrittleWork.create({
      slots,
      workMs,
      ...(tokenCapacity !== undefined && { tokenCapacity }),
      onCrash: () => void this.crash(),
    });
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
    this.work.limit = this.limit;
    this.work.maxWaiting = maxWaiting;
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.endpoint.close();
  }

  private handle(call: EndpointRequest): void {
    const { response } = call;
    if (this.limit !== undefined) response.setHeader("x-brittle", String(this.limit));
    const respond = (load: string, act: (call: EndpointRequest) => void): void => {
      response.setHeader("x-load", load);
      act(call);
    };
    const responses = {
      succeed: (load: string) => respond(load, respondSuccess),
      refuse: (load: string) => respond(load, respondNotRun),
    };
    const drop = this.work.take(responses, { tokens: Number(call.headers["x-tokens"] ?? 0) });
    response.on("close", () => {
      if (!response.writableFinished) drop();
    });
  }

  private async crash(): Promise<void> {
    this.crashes += 1;
    await this.endpoint.stopListening();
    setTimeout(() => void this.recover(), this.options.downMs);
  }

  private async recover(): Promise<void> {
    if (!this.isClosed) await this.endpoint.listenAgain();
  }
}
