/**
 * Plug-in `http-kv`: the platform's key-value service over HTTP and JSON, with blocking reads, transactions and
 * sessions.
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
const valueLimit = 1_048_576;

/** Client of the service. */
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
    wait: number,
    signal: AbortSignal,
  ): Promise<Result<StoredValue | undefined, Failure>> {
    const path = `${getPath(key)}?index=${revision}&wait=${wait}`;
    const timeout = wait + this.options.timeout;
    return parseRead(
      await callService(this.pool, { method: "GET", path, effect: CallEffect.None, timeout, signal }),
    );
  }

  async compareAndSwap(key: string, value: Uint8Array, expected: number): Promise<Result<number, Failure>> {
    if (value.length > valueLimit) {
      return Err(Failure.create(FailureCode.ValueTooLarge, { size: value.length, limit: valueLimit }));
    }
    const operation = {
      Verb: "cas",
      Key: key,
      Value: Buffer.from(value).toString("base64"),
      Index: expected,
    };
    const answer = await this.change("/v1/txn", JSON.stringify([{ KV: operation }]));
    if (answer.isErr()) return answer;
    if (answer.value.status === statusConflict)
      return Err(Failure.create(FailureCode.ServiceConflict, { key }));
    if (answer.value.status !== statusOk) return Err(createStatusFailure(answer.value.status));
    const parsed = parseJson<SwapResponse>(answer.value);
    const revision = parsed.isOk() ? parsed.value.Results[0]?.KV.ModifyIndex : undefined;
    return revision === undefined ? Err(Failure.create(FailureCode.ServiceAnswerLost)) : Ok(revision);
  }

  async acquireLease(
    name: string,
    holder: string,
    ttl: number,
  ): Promise<Result<GrantedLease | undefined, Failure>> {
    const created = await this.change("/v1/session/create", JSON.stringify({ TTL: ttl, Name: holder }));
    const session = created.andThen((answer) => parseJson<{ ID: string }>(answer)).map((answer) => answer.ID);
    if (session.isErr()) return session;
    const path = `${getPath(name)}?acquire=${encodeURIComponent(session.value)}`;
    const acquired = await this.change(path, holder);
    const answer = acquired.andThen((text) => parseJson<{ Acquired: boolean; LockIndex: number }>(text));
    if (answer.isErr()) return answer;
    if (answer.value.Acquired) return Ok({ session: session.value, fence: answer.value.LockIndex });
    await this.releaseLease(session.value);
    return Ok(undefined);
  }

  async renewLease(session: string): Promise<Result<void, Failure>> {
    const answer = await this.change(`/v1/session/renew/${encodeURIComponent(session)}`, "");
    if (answer.isErr()) return answer;
    if (answer.value.status === statusNotFound)
      return Err(Failure.create(FailureCode.LeaseLost, { lease: session }));
    return answer.value.status === statusOk ? Ok.EMPTY : Err(createStatusFailure(answer.value.status));
  }

  async releaseLease(session: string): Promise<Result<void, Failure>> {
    const answer = await this.change(`/v1/session/destroy/${encodeURIComponent(session)}`, "");
    return answer.isErr() ? answer : Ok.EMPTY;
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
    return Failure.create(FailureCode.ValueTooLarge, { size: "?", limit: valueLimit });
  return Failure.create(FailureCode.ServiceUnavailable, { detail: `status ${status}` });
}

function parseRead(answer: Result<CallResponse, Failure>): Result<StoredValue | undefined, Failure> {
  if (answer.isErr()) return answer;
  if (answer.value.status === statusNotFound) return Ok(undefined);
  if (answer.value.status !== statusOk) return Err(createStatusFailure(answer.value.status));
  return parseJson<readonly ReadEntry[]>(answer.value).map(([entry]) =>
    entry ? { value: Buffer.from(entry.Value, "base64"), revision: entry.ModifyIndex } : undefined,
  );
}

registerPlugin<AddressOptions, KeyValueService>({
  kind: PluginKind.KeyValue,
  name: "http-kv",
  create: (options) => HttpKeyValue.create(options),
});
