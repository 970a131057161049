/**
 * Plug-ins `http-list` and `http-notices`: clients of the instance list and of the cloud's reclaim notices over HTTP
 * and JSON.
 * @module
 */
import type {
  InstanceList,
  InstanceRecord,
  ListReading,
  NoticeBatch,
  NoticeSource,
} from "@gladewall/coordination";
import { Failure, FailureCode, PluginKind, registerPlugin } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { Pool } from "undici";
import type { AddressOptions } from "../types.js";
import { CallEffect, callService, createPool, parseJson } from "./httpCall.js";

const statusUnchanged = 304;

/** Client of the instance list. Sends the last entity tag, so that an unchanged list gives a 304 without a body. */
class HttpInstanceList implements InstanceList {
  private readonly pool: Pool;
  private tag: string | undefined;
  private records: readonly InstanceRecord[] = [];

  private constructor(private readonly options: AddressOptions) {
    this.pool = createPool(options.address, options.timeout);
  }

  static create(options: AddressOptions): HttpInstanceList {
    return new HttpInstanceList(options);
  }

  async read(): Promise<Result<ListReading, Failure>> {
    const { timeout } = this.options;
    const headers: Record<string, string> = this.tag === undefined ? {} : { "if-none-match": this.tag };
    const call = { method: "GET", path: "/v1/instances", headers, effect: CallEffect.None, timeout } as const;
    const response = await callService(this.pool, call);
    if (response.isOk() && response.value.status === statusUnchanged)
      return Ok({ records: this.records, isUnchanged: true });
    const parsed = response.andThen((text) => parseJson<{ instances: readonly InstanceRecord[] }>(text));
    if (response.isErr() || parsed.isErr()) return Err(createListFailure(parsed));
    this.tag = response.value.tag;
    this.records = parsed.value.instances;
    return Ok({ records: this.records, isUnchanged: false });
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

function createListFailure(result: Result<unknown, Failure>): Failure {
  const detail = result.isErr() ? (result.error.values["detail"] ?? result.error.text) : "no list";
  return Failure.create(FailureCode.ListUnavailable, { detail });
}

/** Client of the reclaim notices, which are requested by long polling. */
class HttpNotices implements NoticeSource {
  private readonly pool: Pool;

  private constructor(private readonly options: AddressOptions) {
    this.pool = createPool(options.address, options.timeout);
  }

  static create(options: AddressOptions): HttpNotices {
    return new HttpNotices(options);
  }

  async waitForNotices(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<NoticeBatch, Failure>> {
    const path = `/v1/notices?after=${after}&wait=${waitMs}`;
    const timeout = waitMs + this.options.timeout;
    const response = await callService(this.pool, {
      method: "GET",
      path,
      effect: CallEffect.None,
      timeout,
      signal,
    });
    return response.andThen((text) => parseJson<NoticeBatch>(text));
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

registerPlugin<AddressOptions, InstanceList>({
  kind: PluginKind.InstanceList,
  name: "http-list",
  create: (options) => HttpInstanceList.create(options),
});

registerPlugin<AddressOptions, NoticeSource>({
  kind: PluginKind.Cloud,
  name: "http-notices",
  create: (options) => HttpNotices.create(options),
});
