/**
 * Items of the store that the gateway wrote itself, read with a check: the store may hold bytes of another writer.
 * @module
 */
import * as v from "valibot";

/**
 * Returns what an item holds; undefined where it is not of the schema's shape. Read without a check, one item of another
 * writer ended every process that listed it.
 */
export function decodeItem<Schema extends v.GenericSchema>(
  schema: Schema,
  value: Uint8Array,
): v.InferOutput<Schema> | undefined {
  try {
    const decoded = v.safeParse(schema, JSON.parse(Buffer.from(value).toString("utf8")));
    return decoded.success ? decoded.output : undefined;
  } catch {
    // JSON.parse throws on what is no JSON; that too is another writer's.
    return undefined;
  }
}
