/**
 * Schema of settings: describes each key with its type, unit, range and default, and derives the types of the values.
 * @module
 */

/** Type of a setting's value. */
export enum SettingType {
  Text = 1,
  Integer = 2,
  Flag = 3,
  /** One of a list of values. */
  Choice = 4,
  /** `host:port`, where the host is an IP address or a name. */
  Address = 5,
  /** Several addresses, separated by commas. */
  AddressList = 6,
  /** Text that is never printed. */
  Secret = 7,
  Decimal = 8,
  /** Milliseconds, written as a plain number or with a unit: `1500`, `1500ms`, `1.5s`. */
  Duration = 9,
}

/** One key of a section. */
export interface SettingKey {
  readonly type: SettingType;
  /** Unit for display, such as `ms`, `bytes` or `requests`; empty if there is none. */
  readonly unit: string;
  /** Default value as it would be written in the file; the key is required if undefined. */
  readonly fallback: string | undefined;
  readonly help: string;
  readonly lowest?: number;
  readonly highest?: number;
  readonly choices?: readonly string[];
  /** Whether a new value takes effect on a reload, without a restart. */
  readonly isReloadable?: boolean;
}

/** Keys of one section by name. */
export type SettingSection = Readonly<Record<string, SettingKey>>;

/** Sections by name. */
export type SettingSchema = Readonly<Record<string, SettingSection>>;

type NumberType = SettingType.Integer | SettingType.Decimal | SettingType.Duration;

type ValueOf<Key extends SettingKey> = Key["type"] extends NumberType
  ? number
  : Key["type"] extends SettingType.Flag
    ? boolean
    : Key["type"] extends SettingType.AddressList
      ? readonly string[]
      : string;

/** Typed values of a schema: `settings.section.key`. */
export type SettingsOf<Schema extends SettingSchema> = {
  readonly [Section in keyof Schema]: {
    readonly [Key in keyof Schema[Section]]: ValueOf<Schema[Section][Key]>;
  };
};

/** Creates an integer key. */
export function createInteger(
  unit: string,
  fallback: number,
  range: readonly [lowest: number, highest: number],
  help: string,
): SettingKey & { type: SettingType.Integer } {
  const [lowest, highest] = range;
  return { type: SettingType.Integer, unit, fallback: String(fallback), lowest, highest, help };
}

/** Creates a decimal key. */
export function createDecimal(
  unit: string,
  fallback: number,
  range: readonly [lowest: number, highest: number],
  help: string,
): SettingKey & { type: SettingType.Decimal } {
  const [lowest, highest] = range;
  return { type: SettingType.Decimal, unit, fallback: String(fallback), lowest, highest, help };
}

/** Creates a duration key. The fallback, the range and the value are whole numbers of milliseconds. */
export function createDuration(
  fallback: number,
  range: readonly [lowest: number, highest: number],
  help: string,
): SettingKey & { type: SettingType.Duration } {
  const [lowest, highest] = range;
  return { type: SettingType.Duration, unit: "ms", fallback: String(fallback), lowest, highest, help };
}

/** Creates a text key, which is required if it has no fallback. */
export function createText(help: string, fallback?: string): SettingKey & { type: SettingType.Text } {
  return { type: SettingType.Text, unit: "", fallback, help };
}

/** Creates an address key, which is required if it has no fallback. */
export function createAddress(help: string, fallback?: string): SettingKey & { type: SettingType.Address } {
  return { type: SettingType.Address, unit: "host:port", fallback, help };
}

/** Creates a key for a list of addresses, which is empty by default. */
export function createAddressList(help: string): SettingKey & { type: SettingType.AddressList } {
  return { type: SettingType.AddressList, unit: "host:port, …", fallback: "", help };
}

/** Creates a secret key, which is required if it has no fallback. */
export function createSecret(help: string, fallback?: string): SettingKey & { type: SettingType.Secret } {
  return { type: SettingType.Secret, unit: "", fallback, help };
}

/** Creates a flag key. */
export function createFlag(fallback: boolean, help: string): SettingKey & { type: SettingType.Flag } {
  return { type: SettingType.Flag, unit: "", fallback: String(fallback), help };
}

/** Creates a key that takes one of the given values. */
export function createChoice(
  choices: readonly string[],
  fallback: string,
  help: string,
): SettingKey & { type: SettingType.Choice } {
  return { type: SettingType.Choice, unit: "", fallback, choices, help };
}

/** Marks a key as one whose new value takes effect on a reload. */
export function markReloadable<Key extends SettingKey>(key: Key): Key {
  return { ...key, isReloadable: true };
}
