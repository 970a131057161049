/**
 * Decodes the gateway's own items of the store and validates them, because the store may hold bytes of another
 * writer.
 * @module
 */
import * as v from "valibot";

/**
 * Returns the decoded value of an item; undefined if it does not match the schema. Without this check, one item
 * of another writer ended every process that listed it.
 */
export function decodeItem<Schema extends v.GenericSchema>(
  schema: Schema,
  value: Uint8Array,
): v.InferOutput<Schema> | undefined {
  try {
    const decoded = v.safeParse(schema, JSON.parse(Buffer.from(value).toString("utf8")));
    return decoded.success ? decoded.output : undefined;
  } catch {
    // JSON.parse throws on text that is not JSON, which is also another writer's.
    return undefined;
  }
}
