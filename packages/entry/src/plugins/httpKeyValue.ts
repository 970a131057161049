/**
 * Plug-in `http-kv`: client of the platform's key-value service over HTTP and JSON. Watches are blocking reads,
 * compare-and-swap is a transaction, and leases are sessions.
 * @module
 */
import type { GrantedLease, KeyValueService, StoredValue } from "@gladewall/coordination";
import { Failure, FailureCode, PluginKind, registerPlugin } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { Pool } from "undici";
import type { AddressOptions } from "../types.js";
import { type CallResponse, CallEffect, callService, createPool, parseJson } from "./httpCall.js";

interface ReadEntry {
  readonly Value: string;
  readonly ModifyIndex: number;
}

interface SwapResponse {
  readonly Results: readonly { readonly KV: { readonly ModifyIndex: number } }[];
}

const statusConflict = 409;
const statusNotFound = 404;
const statusTooLarge = 413;
const statusOk = 200;
const maxValueBytes = 1_048_576;

/** Client of the key-value service. */
class HttpKeyValue implements KeyValueService {
  private readonly pool: Pool;

  private constructor(private readonly options: AddressOptions) {
    this.pool = createPool(options.address, options.timeout);
  }

  static create(options: AddressOptions): HttpKeyValue {
    return new HttpKeyValue(options);
  }

  async read(key: string): Promise<Result<StoredValue | undefined, Failure>> {
    const { timeout } = this.options;
    return parseRead(
      await callService(this.pool, { method: "GET", path: getPath(key), effect: CallEffect.None, timeout }),
    );
  }

  async watch(
    key: string,
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoredValue | undefined, Failure>> {
    const path = `${getPath(key)}?index=${revision}&wait=${waitMs}`;
    const timeout = waitMs + this.options.timeout;
    return parseRead(
      await callService(this.pool, { method: "GET", path, effect: CallEffect.None, timeout, signal }),
    );
  }

  async compareAndSwap(key: string, value: Uint8Array, expected: number): Promise<Result<number, Failure>> {
    if (value.length > maxValueBytes) {
      return Err(Failure.create(FailureCode.ValueTooLarge, { size: value.length, limit: maxValueBytes }));
    }
    const operation = {
      Verb: "cas",
      Key: key,
      Value: Buffer.from(value).toString("base64"),
      Index: expected,
    };
    const response = await this.change("/v1/txn", JSON.stringify([{ KV: operation }]));
    if (response.isErr()) return response;
    if (response.value.status === statusConflict)
      return Err(Failure.create(FailureCode.ServiceConflict, { key }));
    if (response.value.status !== statusOk) return Err(createStatusFailure(response.value.status));
    const parsed = parseJson<SwapResponse>(response.value);
    const revision = parsed.isOk() ? parsed.value.Results[0]?.KV.ModifyIndex : undefined;
    return revision === undefined ? Err(Failure.create(FailureCode.ServiceAnswerLost)) : Ok(revision);
  }

  async acquireLease(
    name: string,
    holder: string,
    ttlMs: number,
  ): Promise<Result<GrantedLease | undefined, Failure>> {
    const created = await this.change("/v1/session/create", JSON.stringify({ TTL: ttlMs, Name: holder }));
    const session = created
      .andThen((response) => parseJson<{ ID: string }>(response))
      .map((answer) => answer.ID);
    if (session.isErr()) return session;
    const path = `${getPath(name)}?acquire=${encodeURIComponent(session.value)}`;
    const acquired = await this.change(path, holder);
    const response = acquired.andThen((text) => parseJson<{ Acquired: boolean; LockIndex: number }>(text));
    if (response.isErr()) return response;
    if (response.value.Acquired) return Ok({ session: session.value, fence: response.value.LockIndex });
    await this.releaseLease(session.value);
    return Ok(undefined);
  }

  async renewLease(session: string): Promise<Result<void, Failure>> {
    const response = await this.change(`/v1/session/renew/${encodeURIComponent(session)}`, "");
    if (response.isErr()) return response;
    if (response.value.status === statusNotFound)
      return Err(Failure.create(FailureCode.LeaseLost, { lease: session }));
    return response.value.status === statusOk ? Ok.EMPTY : Err(createStatusFailure(response.value.status));
  }

  async releaseLease(session: string): Promise<Result<void, Failure>> {
    const response = await this.change(`/v1/session/destroy/${encodeURIComponent(session)}`, "");
    return response.isErr() ? response : Ok.EMPTY;
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private change(path: string, body: string): Promise<Result<CallResponse, Failure>> {
    const { timeout } = this.options;
    return callService(this.pool, { method: "PUT", path, body, effect: CallEffect.Change, timeout });
  }
}

function getPath(key: string): string {
  return `/v1/kv/${encodeURIComponent(key)}`;
}

function createStatusFailure(status: number): Failure {
  if (status === statusTooLarge)
    return Failure.create(FailureCode.ValueTooLarge, { size: "?", limit: maxValueBytes });
  return Failure.create(FailureCode.ServiceUnavailable, { detail: `status ${status}` });
}

function parseRead(response: Result<CallResponse, Failure>): Result<StoredValue | undefined, Failure> {
  if (response.isErr()) return response;
  if (response.value.status === statusNotFound) return Ok(undefined);
  if (response.value.status !== statusOk) return Err(createStatusFailure(response.value.status));
  return parseJson<readonly ReadEntry[]>(response.value).map(([entry]) =>
    entry ? { value: Buffer.from(entry.Value, "base64"), revision: entry.ModifyIndex } : undefined,
  );
}

registerPlugin<AddressOptions, KeyValueService>({
  kind: PluginKind.KeyValue,
  name: "http-kv",
  create: (options) => HttpKeyValue.create(options),
});
