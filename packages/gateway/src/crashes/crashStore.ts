/**
 * Keeps the quarantine of requests in the platform's store: from the cooldown on, until the request is cleared.
 * @module
 */
import * as v from "valibot";
import type { CrashRecords } from "./crashRecords.js";
import type { CrashReport } from "./crashUpdates.js";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import {
  type DurableSubject,
  type QuarantineKind,
  QuarantineItems,
  type QuarantineItemsOptions,
} from "./quarantineItems.js";

/** Options of the store. */
export interface CrashStoreOptions extends Omit<QuarantineItemsOptions<CrashItem>, "kind"> {
  readonly records: CrashRecords;
}

/** Prefix of the keys of quarantined requests; a fingerprint follows. */
export const crashPrefix = `${gatewayPrefix}crashes/`;

/** An item of a request. */
export const crashSchema = v.object({
  workspace: v.string(),
  /** Incarnations that crashed with the request in flight, before it was a suspect and after. */
  first: v.array(v.string()),
  repeated: v.array(v.string()),
});

type CrashItem = v.InferOutput<typeof crashSchema>;

/** Creates the items of requests. */
export function createCrashItems(options: CrashStoreOptions): QuarantineItems<CrashItem> {
  return QuarantineItems.create({ ...options, kind: createKind(options.records) });
}

function createKind(records: CrashRecords): QuarantineKind<CrashItem> {
  return {
    prefix: crashPrefix,
    schema: crashSchema,
    event: "crash",
    getDurable: () => records.getDurable().map(({ workspace, fingerprint: id }) => ({ workspace, id })),
    createItem: ({ id, workspace }: DurableSubject) => {
      const { first, repeated } = records.getEvidence(id);
      return { workspace, first: [...first], repeated: [...repeated] };
    },
    getWorkspace: ({ workspace }) => workspace,
    isCurrent: (id, item) => records.getUncleared(id).every((life) => getIncarnations(item).includes(life)),
    // A removal clears the request on all instances, so the item of a request whose score has only fallen must stay.
    isCleared: (id) => records.getUncleared(id).length === 0,
    apply: (id, item) => records.apply({ reports: createReports(id, item) }),
    clear: (id, item) => records.apply({ acquittals: [{ fingerprint: id, lives: getIncarnations(item) }] }),
  };
}

function getIncarnations({ first, repeated }: CrashItem): readonly string[] {
  return [...first, ...repeated];
}

function createReports(fingerprint: string, { workspace, first, repeated }: CrashItem): CrashReport[] {
  const subject = { workspace, fingerprint };
  return [
    ...first.map((incarnation) => ({ life: incarnation, suspects: [], others: [subject] })),
    ...repeated.map((incarnation) => ({ life: incarnation, suspects: [subject], others: [] })),
  ];
}
