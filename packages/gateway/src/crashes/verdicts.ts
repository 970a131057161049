/**
 * Lists and clears what the store holds on requests and parts of prompts under which endpoints crashed, for operators.
 * @module
 */
import type { Failure } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import * as v from "valibot";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import { decodeItem } from "../store/itemCodec.js";
import type { MetadataStore, StoreItem } from "../types.js";
import { crashPrefix, crashSchema } from "./crashStore.js";
import { partPrefix, partSchema } from "./parts/partStore.js";

/** What a verdict is on. */
export enum VerdictKind {
  Request = "request",
  Part = "part",
}

/** One item on a request or a part. */
export interface Verdict {
  readonly kind: VerdictKind;
  /** Names it in a call to clear it. */
  readonly id: string;
  /** Service and id of a part, or the fingerprint of a request. */
  readonly subject: string;
  /** Whether requests are refused for it; else it is suspected, and one such request is tried at a time. */
  readonly isConvicted: boolean;
  readonly workspaces: readonly string[];
  /** Parts that were with it in all requests; only requests with all of them are refused. */
  readonly companions: readonly string[];
  /** Incarnations of the endpoints that crashed. */
  readonly lives: readonly string[];
  /** Unix milliseconds of the verdict; undefined if it is not kept. */
  readonly since: number | undefined;
}

/** A verdict that an operator cleared. */
export interface ClearedVerdict {
  readonly id: string;
  readonly subject: string;
  readonly by: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** Whether a verdict was cleared. */
export enum ClearResult {
  Cleared = 1,
  Unknown = 2,
}

const clearedPrefix = `${gatewayPrefix}crash-cleared/`;
const clearedSchema = v.object({ id: v.string(), subject: v.string(), by: v.string(), at: v.number() });
/** Crashes from which on a request is refused. */
const minRequestCrashes = 3;

/** Reads all verdicts and suspicions, those that refuse requests first. Fails if the store does. */
export async function listVerdicts(store: MetadataStore): Promise<Result<readonly Verdict[], Failure>> {
  const listed = await store.list(gatewayPrefix);
  return listed.map(({ items }) => {
    const verdicts = items.flatMap((item) => readVerdict(item) ?? []);
    return verdicts.sort((one, other) => Number(other.isConvicted) - Number(one.isConvicted));
  });
}

/** Reads what operators have cleared. Fails if the store does. */
export async function listCleared(store: MetadataStore): Promise<Result<readonly ClearedVerdict[], Failure>> {
  const listed = await store.list(clearedPrefix);
  return listed.map(({ items }) => items.flatMap(({ value }) => decodeItem(clearedSchema, value) ?? []));
}

/**
 * Clears a verdict on behalf of an operator, and records who did. All instances learn of it from the store. Fails if the store does,
 * with `ServiceConflict` if the item was written meanwhile.
 */
export async function clearVerdict(
  store: MetadataStore,
  id: string,
  { by, at }: Pick<ClearedVerdict, "by" | "at">,
): Promise<Result<ClearResult, Failure>> {
  for (const prefix of [partPrefix, crashPrefix]) {
    const reading = await store.read(prefix + id);
    if (reading.isErr()) return reading;
    const { item } = reading.value;
    const verdict = item && readVerdict(item);
    if (!verdict) continue;
    const cleared: ClearedVerdict = { id, subject: verdict.subject, by, at };
    const put = [{ key: clearedPrefix + id, value: Buffer.from(JSON.stringify(cleared)) }];
    const written = await store.transact({
      expected: [{ key: item.key, revision: item.revision }],
      put,
      remove: [item.key],
    });
    return written.isErr() ? Err(written.error) : Ok(ClearResult.Cleared);
  }
  return Ok(ClearResult.Unknown);
}

function readVerdict({ key, value }: StoreItem): Verdict | undefined {
  if (key.startsWith(partPrefix)) return readPartVerdict(key.slice(partPrefix.length), value);
  if (key.startsWith(crashPrefix)) return readRequestVerdict(key.slice(crashPrefix.length), value);
  return undefined;
}

function readPartVerdict(id: string, value: Uint8Array): Verdict | undefined {
  const item = decodeItem(partSchema, value);
  if (!item) return undefined;
  const { service, part, isConvicted, workspaces, companions, crashes, since } = item;
  return {
    kind: VerdictKind.Part,
    id,
    subject: `${service} ${part}`,
    isConvicted,
    workspaces,
    companions,
    lives: crashes.map(({ life }) => life),
    since: since === 0 ? undefined : since,
  };
}

function readRequestVerdict(id: string, value: Uint8Array): Verdict | undefined {
  const item = decodeItem(crashSchema, value);
  if (!item) return undefined;
  const lives = [...item.first, ...item.repeated];
  return {
    kind: VerdictKind.Request,
    id,
    subject: id,
    isConvicted: lives.length >= minRequestCrashes,
    workspaces: [item.workspace],
    companions: [],
    lives,
    since: undefined,
  };
}
