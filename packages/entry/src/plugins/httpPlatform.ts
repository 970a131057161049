/**
 * Plug-ins `http-list` and `http-notices`: the instance list and the cloud's reclaim notices over HTTP and JSON.
 * @module
 */
import type { InstanceList, InstanceRecord, NoticeBatch, NoticeSource } from "@gladewall/coordination";
import { Failure, FailureCode, PluginKind, registerPlugin } from "@gladewall/kernel";
import { Err, type Result } from "ts-results-es";
import type { Pool } from "undici";
import type { AddressOptions } from "../types.js";
import { CallEffect, callService, createPool, parseJson } from "./httpCall.js";

/** Client of the instance list. */
class HttpInstanceList implements InstanceList {
  private readonly pool: Pool;

  private constructor(private readonly options: AddressOptions) {
    this.pool = createPool(options.address, options.timeout);
  }

  static create(options: AddressOptions): HttpInstanceList {
    return new HttpInstanceList(options);
  }

  async read(): Promise<Result<readonly InstanceRecord[], Failure>> {
    const { timeout } = this.options;
    const answer = await callService(this.pool, {
      method: "GET",
      path: "/v1/instances",
      effect: CallEffect.None,
      timeout,
    });
    const parsed = answer.andThen((text) => parseJson<{ instances: readonly InstanceRecord[] }>(text));
    if (parsed.isErr())
      return Err(
        Failure.create(FailureCode.ListUnavailable, {
          detail: parsed.error.values["detail"] ?? parsed.error.text,
        }),
      );
    return parsed.map((list) => list.instances);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

/** Client of the notices. */
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
    wait: number,
    signal: AbortSignal,
  ): Promise<Result<NoticeBatch, Failure>> {
    const path = `/v1/notices?after=${after}&wait=${wait}`;
    const timeout = wait + this.options.timeout;
    const answer = await callService(this.pool, {
      method: "GET",
      path,
      effect: CallEffect.None,
      timeout,
      signal,
    });
    return answer.andThen((text) => parseJson<NoticeBatch>(text));
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
