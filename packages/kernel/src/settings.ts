/**
 * Reads settings from an INI file, the environment and command-line flags, each of which overrides the one before, and
 * checks every value against a schema.
 *
 * The `ini` library parses the values. It silently merges duplicate sections and keys, so a scan of the lines detects
 * those first.
 * @module
 */
import { readFileSync } from "node:fs";
import ini from "ini";
import { Err, Ok, type Result } from "ts-results-es";
import { Failure, FailureCode } from "./failures.js";
import {
  type SettingKey,
  type SettingSchema,
  type SettingSection,
  type SettingsOf,
  SettingType,
} from "./settingsSchema.js";

/** Sources of settings. */
export interface SettingsSource {
  /** Path of the INI file. */
  readonly file: string;
  /** Environment; `GLADEWALL_<SECTION>_<KEY>` overrides the file. */
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** `section.key=value` flags; they override the environment. */
  readonly overrides: readonly string[];
  /** Current names by former name, for sections (`section`) and keys (`section.key`). Former names are refused. */
  readonly renamed?: ReadonlyMap<string, string>;
}

type RawSection = Record<string, string>;
type RawSettings = Record<string, RawSection>;
type RawDocument = Record<string, Record<string, unknown>>;
type Value = string | number | boolean | readonly string[];

const environmentPrefix = "GLADEWALL_";
const secretMask = "(secret)";
const addressPattern = /^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/;
const durationPattern = /^(\d+(?:\.\d+)?)\s*(ms|s)?$/;
const millisecondsPerSecond = 1_000;
const maxPort = 65_535;

/** Reads and checks settings. Returns all errors found, so that one run shows them all. */
export function readSettings<Schema extends SettingSchema>(
  schema: Schema,
  source: SettingsSource,
): Result<SettingsOf<Schema>, Failure[]> {
  const text = tryReadFile(source.file);
  if (text === undefined)
    return Err([Failure.create(FailureCode.SettingsFileMissing, { file: source.file })]);
  return parseSettings(schema, text, source);
}

/** Parses and checks settings given as text; `source.file` is only used in failures. */
export function parseSettings<Schema extends SettingSchema>(
  schema: Schema,
  text: string,
  source: SettingsSource,
): Result<SettingsOf<Schema>, Failure[]> {
  const failures = findLineFailures(text, source.file);
  if (failures.length > 0) return Err(failures);
  const raw = readRaw(text);
  applyEnvironment(schema, raw, source.environment);
  failures.push(...applyOverrides(raw, source.overrides));
  failures.push(...findUnknown(schema, raw, source));
  const values: Record<string, Record<string, Value>> = {};
  for (const [section, keys] of Object.entries(schema)) {
    values[section] = readSection(section, keys, raw[section] ?? {}, source.file, failures);
  }
  return failures.length > 0 ? Err(failures) : Ok(values as SettingsOf<Schema>);
}

function tryReadFile(file: string): string | undefined {
  try {
    return readFileSync(file, "utf8");
  } catch {
    return undefined;
  }
}

function findLineFailures(text: string, file: string): Failure[] {
  const failures: Failure[] = [];
  const sections = new Set<string>();
  const keys = new Set<string>();
  let section = "";
  text.split(/\r?\n/).forEach((content, index) => {
    const trimmed = content.trim();
    const line = index + 1;
    if (trimmed === "" || trimmed.startsWith(";") || trimmed.startsWith("#")) return;
    const header = /^\[([^\]]+)\]$/.exec(trimmed);
    if (header) {
      section = (header[1] ?? "").trim();
      if (sections.has(section))
        failures.push(Failure.create(FailureCode.SettingsDuplicateSection, { file, section, line }));
      sections.add(section);
      return;
    }
    const equals = trimmed.indexOf("=");
    if (equals <= 0 || section === "") {
      failures.push(Failure.create(FailureCode.SettingsSyntax, { file, line }));
      return;
    }
    const key = trimmed.slice(0, equals).trim();
    const path = `${section}.${key}`;
    if (keys.has(path))
      failures.push(Failure.create(FailureCode.SettingsDuplicateKey, { file, section, key, line }));
    keys.add(path);
  });
  return failures;
}

function readRaw(text: string): RawSettings {
  const raw: RawSettings = {};
  const document: RawDocument = ini.parse(text);
  for (const [section, keys] of Object.entries(document)) {
    raw[section] = Object.fromEntries(Object.entries(keys).map(([key, value]) => [key, String(value)]));
  }
  return raw;
}

function applyEnvironment(
  schema: SettingSchema,
  raw: RawSettings,
  environment: Readonly<Record<string, string | undefined>>,
): void {
  for (const [section, keys] of Object.entries(schema)) {
    for (const key of Object.keys(keys)) {
      const value = environment[`${environmentPrefix}${section}_${key}`.toUpperCase()];
      if (value !== undefined) (raw[section] ??= {})[key] = value;
    }
  }
}

function applyOverrides(raw: RawSettings, overrides: readonly string[]): Failure[] {
  const failures: Failure[] = [];
  for (const override of overrides) {
    const found = /^([\w-]+)\.([\w-]+)=(.*)$/s.exec(override);
    if (!found) {
      failures.push(Failure.create(FailureCode.SettingsSyntax, { file: `flag --set ${override}`, line: 1 }));
      continue;
    }
    const [, section = "", key = "", value = ""] = found;
    (raw[section] ??= {})[key] = value;
  }
  return failures;
}

function findUnknown(
  schema: SettingSchema,
  raw: RawSettings,
  { file, renamed = new Map() }: SettingsSource,
): Failure[] {
  const failures: Failure[] = [];
  for (const [section, keys] of Object.entries(raw)) {
    const known = Object.hasOwn(schema, section) ? schema[section] : undefined;
    const current = renamed.get(section);
    if (!known && current !== undefined) {
      failures.push(
        Failure.create(FailureCode.SettingsRenamed, { file, name: `[${section}]`, current: `[${current}]` }),
      );
      continue;
    }
    if (!known) {
      const allowed = Object.keys(schema).join(", ");
      failures.push(Failure.create(FailureCode.SettingsUnknownSection, { file, section, allowed }));
      continue;
    }
    for (const key of Object.keys(keys)) {
      if (Object.hasOwn(known, key)) continue;
      const currentKey = renamed.get(`${section}.${key}`);
      if (currentKey !== undefined) {
        failures.push(
          Failure.create(FailureCode.SettingsRenamed, {
            file,
            name: `${section}.${key}`,
            current: currentKey,
          }),
        );
        continue;
      }
      const allowed = Object.keys(known).join(", ");
      failures.push(Failure.create(FailureCode.SettingsUnknownKey, { file, section, key, allowed }));
    }
  }
  return failures;
}

function readSection(
  section: string,
  keys: SettingSection,
  raw: RawSection,
  file: string,
  failures: Failure[],
): Record<string, Value> {
  const values: Record<string, Value> = {};
  for (const [key, description] of Object.entries(keys)) {
    const text = raw[key] ?? description.fallback;
    const allowed = formatAllowed(description);
    if (text === undefined) {
      failures.push(Failure.create(FailureCode.SettingsMissingKey, { file, section, key, allowed }));
      continue;
    }
    const value = parsersByType[description.type](text, description);
    if (value === ParseError.WrongType) {
      failures.push(Failure.create(FailureCode.SettingsWrongType, { file, section, key, allowed }));
    } else if (value === ParseError.OutOfRange) {
      failures.push(Failure.create(FailureCode.SettingsOutOfRange, { file, section, key, allowed }));
    } else {
      values[key] = value.value;
    }
  }
  return values;
}

enum ParseError {
  WrongType = 1,
  OutOfRange = 2,
}

type Parsed = { readonly value: Value } | ParseError;
type Parser = (text: string, key: SettingKey) => Parsed;

function parseText(text: string): Parsed {
  return { value: text };
}

function parseNumber(text: string, key: SettingKey, pattern: RegExp): Parsed {
  if (!pattern.test(text)) return ParseError.WrongType;
  return checkRange(Number(text), key);
}

function checkRange(value: number, key: SettingKey): Parsed {
  const isInRange = value >= (key.lowest ?? -Infinity) && value <= (key.highest ?? Infinity);
  return isInRange ? { value } : ParseError.OutOfRange;
}

function parseDuration(text: string, key: SettingKey): Parsed {
  const found = durationPattern.exec(text);
  if (!found) return ParseError.WrongType;
  const value = Math.round(Number(found[1]) * (found[2] === "s" ? millisecondsPerSecond : 1));
  return checkRange(value, key);
}

function parseFlag(text: string): Parsed {
  if (text === "true") return { value: true };
  if (text === "false") return { value: false };
  return ParseError.WrongType;
}

function parseChoice(text: string, key: SettingKey): Parsed {
  return key.choices?.includes(text) ? { value: text } : ParseError.WrongType;
}

function parseAddress(text: string): Parsed {
  const found = addressPattern.exec(text);
  if (!found) return ParseError.WrongType;
  return Number(found[2]) <= maxPort ? { value: text } : ParseError.OutOfRange;
}

function parseAddressList(text: string): Parsed {
  const parts = text
    .split(",")
    .map((part) => part.trim())
    .filter((part) => part !== "");
  const parseError = parts.map(parseAddress).find((part) => typeof part === "number");
  return parseError ?? { value: parts };
}

const parsersByType: Readonly<Record<SettingType, Parser>> = {
  [SettingType.Text]: parseText,
  [SettingType.Integer]: (text, key) => parseNumber(text, key, /^-?\d+$/),
  [SettingType.Decimal]: (text, key) => parseNumber(text, key, /^-?\d+(\.\d+)?$/),
  [SettingType.Duration]: parseDuration,
  [SettingType.Flag]: parseFlag,
  [SettingType.Choice]: parseChoice,
  [SettingType.Address]: parseAddress,
  [SettingType.AddressList]: parseAddressList,
  [SettingType.Secret]: parseText,
};

const typeNames: Readonly<Record<SettingType, string>> = {
  [SettingType.Text]: "text",
  [SettingType.Integer]: "a whole number",
  [SettingType.Decimal]: "a decimal number",
  [SettingType.Duration]: "a duration",
  [SettingType.Flag]: "true or false",
  [SettingType.Choice]: "one of",
  [SettingType.Address]: "an address host:port",
  [SettingType.AddressList]: "addresses host:port separated by commas",
  [SettingType.Secret]: "text (kept secret)",
};

/** Describes the values that a key allows. */
export function formatAllowed(key: SettingKey): string {
  const name = typeNames[key.type];
  if (key.choices) return `${name} ${key.choices.join(", ")}`;
  if (key.lowest === undefined || key.highest === undefined) return name;
  return `${name} from ${key.lowest} to ${key.highest}${key.unit === "" ? "" : ` ${key.unit}`}`;
}

/** Returns the reference of a schema as Markdown, with one table per section. */
export function formatSettingsReference(schema: SettingSchema): string {
  const lines: string[] = [];
  for (const [section, keys] of Object.entries(schema)) {
    lines.push(
      `## [${section}]`,
      "",
      "| key | allowed | unit | default | re-read | meaning |",
      "| --- | --- | --- | --- | --- | --- |",
    );
    for (const [name, key] of Object.entries(keys)) {
      const fallback =
        key.fallback === undefined ? "required" : key.fallback === "" ? "empty" : `\`${key.fallback}\``;
      const reload = key.isReloadable ? "yes" : "no";
      lines.push(
        `| \`${name}\` | ${formatAllowed(key)} | ${key.unit} | ${fallback} | ${reload} | ${key.help} |`,
      );
    }
    lines.push("");
  }
  return `${lines.join("\n")}`;
}

/** Returns the settings that differ from their defaults, by `section.key`, for a log line. Secrets are masked. */
export function listChangedSettings<Schema extends SettingSchema>(
  schema: Schema,
  settings: SettingsOf<Schema>,
): Readonly<Record<string, string>> {
  const changed: Record<string, string> = {};
  for (const [section, keys] of Object.entries(schema)) {
    const values = settings[section] as Readonly<Record<string, Value>>;
    for (const [name, key] of Object.entries(keys)) {
      const shown = formatValue(key, values[name]);
      if (shown !== key.fallback) changed[`${section}.${name}`] = shown;
    }
  }
  return changed;
}

function formatValue(key: SettingKey, value: Value | undefined): string {
  return key.type === SettingType.Secret && value !== "" ? secretMask : String(value);
}

/** Formats settings as INI text. Secrets are masked. */
export function formatSettings<Schema extends SettingSchema>(
  schema: Schema,
  settings: SettingsOf<Schema>,
): string {
  const lines: string[] = [];
  for (const [section, keys] of Object.entries(schema)) {
    lines.push(`[${section}]`);
    const values = settings[section] as Readonly<Record<string, Value>>;
    for (const [name, key] of Object.entries(keys)) {
      lines.push(`${name} = ${formatValue(key, values[name])}`);
    }
    lines.push("");
  }
  return lines.join("\n");
}
