/**
 * The configuration document: encoding, decoding and validation. Also computes the names and hashes by which its rows
 * and keys are looked up.
 * @module
 */
import { createHash } from "node:crypto";
import { ServiceKind } from "@gladewall/coordination";
import { Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type Configuration,
  type EditRecord,
  type RepeatPattern,
  RepeatRule,
  type ServiceRecord,
  type PolicyRow,
  type WorkspaceRecord,
} from "./types.js";

/** The configuration before the first save. */
export const emptyConfiguration: Configuration = {
  version: 0,
  rows: [],
  workspaces: [],
  services: [],
  edits: [],
};

const maxPriority = 9;
const maxNumber = 1e9;
const namePattern = /^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,63})$/;
const hashPattern = /^[0-9a-f]{64}$/;

/** Returns the SHA-256 of a bearer key in hex, the form in which the document stores keys. */
export function getKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Returns the name of a row: `workspace/service/class`. */
export function getRowName(row: Pick<PolicyRow, "workspace" | "service" | "class">): string {
  return `${row.workspace}/${row.service}/${row.class}`;
}

/** Columns of a row that hold names. */
const nameColumns = ["workspace", "service", "class"] as const;

/** Columns of a row that hold numbers, with the range of each. */
export const numberColumns: Readonly<
  Record<string, { readonly lowest: number; readonly highest: number; readonly isWhole: boolean }>
> = {
  weight: { lowest: 0.001, highest: 1e6, isWhole: false },
  priority: { lowest: 0, highest: maxPriority, isWhole: true },
  requestsPerSecond: { lowest: 0, highest: maxNumber, isWhole: false },
  tokensPerSecond: { lowest: 0, highest: maxNumber, isWhole: false },
  concurrency: { lowest: 0, highest: maxNumber, isWhole: true },
  latencyTarget: { lowest: 1, highest: maxNumber, isWhole: true },
};

/** Returns every error in a row; `name` identifies the row in the messages. */
export function validateRow(row: Readonly<Record<string, unknown>>, name: string): Failure[] {
  const failures: Failure[] = [];
  const report = (column: string, detail: string): void => {
    failures.push(Failure.create(FailureCode.TableInvalid, { row: name, column, detail }));
  };
  for (const column of nameColumns) {
    const value = row[column];
    if (typeof value !== "string" || !namePattern.test(value))
      report(column, "a name of letters, digits, . _ - or *");
  }
  for (const [column, allowed] of Object.entries(numberColumns)) {
    const value = row[column];
    const isNumber = typeof value === "number" && Number.isFinite(value);
    const isValid =
      isNumber &&
      value >= allowed.lowest &&
      value <= allowed.highest &&
      (!allowed.isWhole || Number.isInteger(value));
    if (!isValid)
      report(
        column,
        `a ${allowed.isWhole ? "whole " : ""}number from ${allowed.lowest} to ${allowed.highest}`,
      );
  }
  if (row["repeat"] !== RepeatRule.Allowed && row["repeat"] !== RepeatRule.Never)
    report("repeat", "allowed or never");
  return failures;
}

/** Returns every error in a configuration, including rows that have the same name. */
export function validateConfiguration(configuration: Configuration): Failure[] {
  const failures: Failure[] = [];
  const seen = new Set<string>();
  for (const row of configuration.rows) {
    const name = getRowName(row);
    failures.push(...validateRow({ ...row }, name));
    if (seen.has(name))
      failures.push(
        Failure.create(FailureCode.TableInvalid, {
          row: name,
          column: "workspace",
          detail: "the row stands twice",
        }),
      );
    seen.add(name);
  }
  for (const workspace of configuration.workspaces) failures.push(...findWorkspaceFailures(workspace));
  for (const service of configuration.services) failures.push(...findServiceFailures(service));
  return failures;
}

function findWorkspaceFailures(workspace: WorkspaceRecord): Failure[] {
  const isValid =
    namePattern.test(workspace.name) && workspace.keyHashes.every((hash) => hashPattern.test(hash));
  if (isValid) return [];
  return [
    Failure.create(FailureCode.TableInvalid, {
      row: workspace.name,
      column: "keyHashes",
      detail: "SHA-256 in hex",
    }),
  ];
}

function findServiceFailures(service: ServiceRecord): Failure[] {
  const isValid = namePattern.test(service.name) && ServiceKind[service.kind] !== undefined;
  if (isValid) return [];
  return [
    Failure.create(FailureCode.TableInvalid, {
      row: service.name,
      column: "kind",
      detail: "a service of a known kind",
    }),
  ];
}

/** Encodes a configuration as the bytes stored in the key-value service (JSON). */
export function encodeConfiguration(configuration: Configuration): Uint8Array {
  return Buffer.from(JSON.stringify(configuration));
}

/** Decodes a stored configuration; fails with `TableInvalid`, which names the first error found. */
export function decodeConfiguration(bytes: Uint8Array): Result<Configuration, Failure> {
  const parsed = tryParse(bytes);
  if (!parsed) {
    return Err(
      Failure.create(FailureCode.TableInvalid, {
        row: "(document)",
        column: "(all)",
        detail: "a JSON document",
      }),
    );
  }
  const configuration: Configuration = {
    version: Number(parsed.version ?? 0),
    rows: (parsed.rows ?? []) as readonly PolicyRow[],
    workspaces: (parsed.workspaces ?? []) as readonly WorkspaceRecord[],
    services: (parsed.services ?? []) as readonly ServiceRecord[],
    edits: (parsed.edits ?? []) as readonly EditRecord[],
  };
  const failure = validateConfiguration(configuration)[0];
  return failure ? Err(failure) : Ok(configuration);
}

function tryParse(bytes: Uint8Array): Partial<Record<keyof Configuration, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(bytes).toString("utf8"));
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Returns whether the patterns of a web service allow a call to be run more than once. */
export function getServiceRepeatRule(service: ServiceRecord, method: string, path: string): RepeatRule {
  const matches = (pattern: RepeatPattern): boolean =>
    (pattern.method === "*" || pattern.method === method) && path.startsWith(pattern.pathPrefix);
  return service.never.some(matches) ? RepeatRule.Never : RepeatRule.Allowed;
}
