/**
 * Keeps verdicts on parts of prompts in the platform's store, and suspicions that would lead to one after the next crash.
 * @module
 */
import { createHash } from "node:crypto";
import * as v from "valibot";
import type { CrashRecords } from "../crashRecords.js";
import { gatewayPrefix } from "../../fleet/memberRecords.js";
import {
  type DurableSubject,
  QuarantineItems,
  type QuarantineItemsOptions,
  type QuarantineKind,
} from "../quarantineItems.js";
import type { SuspectPart } from "./suspectPart.js";
import { PartEvidence, type PartFinding, type PartName } from "./partUpdates.js";

/** Options of the store. */
export interface PartStoreOptions extends Omit<QuarantineItemsOptions<PartItem>, "kind"> {
  readonly records: CrashRecords;
}

/** Prefix of the keys of suspected parts; a digest of service and part follows, because ids may be long. */
export const partPrefix = `${gatewayPrefix}crash-parts/`;
const digestBytes = 16;

/** The fields are those of `PartFinding`. */
export const partSchema = v.object({
  service: v.string(),
  part: v.string(),
  isConvicted: v.boolean(),
  hasRun: v.boolean(),
  companions: v.array(v.string()),
  workspaces: v.array(v.string()),
  crashes: v.array(
    v.object({ life: v.string(), isRepeated: v.boolean(), isTrial: v.boolean(), requests: v.number() }),
  ),
  since: v.number(),
});

type PartItem = v.InferOutput<typeof partSchema>;

/** Creates the items of parts. */
export function createPartItems(options: PartStoreOptions): QuarantineItems<PartItem> {
  return QuarantineItems.create({ ...options, kind: createKind(options.records) });
}

/** Returns the key of a part's item without its prefix. */
export function createPartId({ service, part }: PartName): string {
  const digest = createHash("sha256").update(`${service}\n${part}`).digest();
  return digest.subarray(0, digestBytes).toString("base64url");
}

function createKind(records: CrashRecords): QuarantineKind<PartItem> {
  const { parts } = records;
  const ids = new WeakMap<SuspectPart, string>();
  const getId = (part: SuspectPart): string => {
    const id = ids.get(part) ?? createPartId(part.name);
    ids.set(part, id);
    return id;
  };
  const findById = (id: string) => [...parts.getActive()].find((part) => getId(part) === id);
  return {
    prefix: partPrefix,
    schema: partSchema,
    event: "part",
    // An item whose suspicion has become less is written again, as instances that start would rely on it.
    getDurable: (isKept) => {
      const kept = [...parts.getActive()].filter((part) => isKept(getId(part)));
      const durable = new Set([...parts.getDurable(), ...kept]);
      return [...durable].map((part) => ({ id: getId(part), workspace: part.owner }));
    },
    createItem: ({ id }: DurableSubject) => copyFinding(parts.createFinding(findById(id)!)),
    getWorkspace: ({ workspaces }) => workspaces[0] ?? "",
    isCurrent: (_, item) => {
      const part = parts.find(item);
      if (!part) return true;
      const { isConvicted, workspaces, crashes } = parts.createFinding(part);
      const isSame = isConvicted === item.isConvicted && workspaces.length === item.workspaces.length;
      return isSame && getLives(crashes) === getLives(item.crashes);
    },
    isCleared: (_, item) => (parts.find(item)?.getUncleared().length ?? 0) === 0,
    apply: (_, item) => records.apply({ parts: { findings: [item] } }),
    clear: (_, { service, part, crashes }) => {
      const uncleared = parts.find({ service, part })?.getUncleared() ?? [];
      const lives = [...new Set([...uncleared, ...crashes.map(({ life }) => life)])];
      const clearance = { service, parts: [part], evidence: PartEvidence.Whole, lives };
      records.apply({ parts: { clearances: [clearance] } });
    },
  };
}

function getLives(crashes: readonly { readonly life: string }[]): string {
  return crashes
    .map(({ life }) => life)
    .sort()
    .join();
}

function copyFinding(finding: PartFinding): PartItem {
  const { companions, workspaces, crashes } = finding;
  return { ...finding, companions: [...companions], workspaces: [...workspaces], crashes: [...crashes] };
}
