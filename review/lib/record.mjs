// Record of one play, written beside its script, and the exit code that follows from it.
import { writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";

export const hasTrouble = process.env.TROUBLE !== "0";

/** Codes with which a play exits. */
export const exitCodes = { held: 0, broken: 1, failed: 2 };

/** Creates the record of a play; `moduleUrl` is that of the script. */
export function createRecord(moduleUrl) {
  const file = fileURLToPath(new URL("record.txt", moduleUrl));
  const startedAt = performance.now();
  const lines = [`trouble: ${hasTrouble ? "on" : "off"}`];
  return {
    /** Adds a line at a time of `performance.now()`; now if it is left out. */
    add(text, at = performance.now()) {
      lines.push(`${((at - startedAt) / 1_000).toFixed(3)} ${text}`);
    },
    save() {
      const [head, ...events] = lines;
      events.sort((one, other) => Number.parseFloat(one) - Number.parseFloat(other));
      writeFileSync(file, `${[head, ...events].join("\n")}\n`);
    },
  };
}

/** Runs a play that returns whether the rule held, saves its record and ends the process. */
export async function playCase(record, play) {
  let code = exitCodes.failed;
  try {
    code = (await play()) ? exitCodes.held : exitCodes.broken;
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
    console.error(error);
  }
  record.save();
  process.exit(code);
}
