import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import t from "tap";
import { entrySchema, formatSettingsPage } from "@gladewall/entry";

const daemonPath = fileURLToPath(new URL("../src/main.js", import.meta.url));
const validSettings = [
  "[entry]",
  "name = entry-1",
  "hall = zogno",
  "[peers]",
  "secret = a-secret-of-all-entries",
  "[platform]",
  "key_value_address = 127.0.0.1:1",
  "instance_list_address = 127.0.0.1:1",
  "notices_address = 127.0.0.1:1",
].join("\n");

interface ProcessResult {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

function runDaemon(args: readonly string[]): Promise<ProcessResult> {
  const child = spawn(process.execPath, [daemonPath, ...args], { stdio: ["ignore", "pipe", "pipe"] });
  let out = "";
  let err = "";
  child.stdout.on("data", (bytes: Buffer) => (out += bytes.toString()));
  child.stderr.on("data", (bytes: Buffer) => (err += bytes.toString()));
  return new Promise((resolve) => child.on("close", (code) => resolve({ code, out, err })));
}

t.test("the settings page in the documentation equals the generated one", async (t) => {
  const page = fileURLToPath(new URL("../../../../docs/operating/settings.md", import.meta.url));
  t.equal(readFileSync(page, "utf8"), formatSettingsPage());
});

t.test(
  "--check accepts valid settings, and reports every error with exit code 2, without opening a port",
  async (t) => {
    const file = `${t.testdir()}/gladewall.ini`;
    writeFileSync(file, validSettings);
    t.match(await runDaemon(["--settings", file, "--check"]), { code: 0, err: "" });
    writeFileSync(file, `${validSettings}\n[front]\nconnections = many\n[lgos]\nlevel = info\n`);
    const bad = await runDaemon(["--settings", file, "--check"]);
    t.equal(bad.code, 2);
    t.match(bad.err, "[front] connections is not a whole number from 1 to 1000000 connections");
    t.match(bad.err, `unknown section [lgos]; allowed: ${Object.keys(entrySchema).join(", ")}`);
    t.match(await runDaemon(["--settings", `${file}.none`]), { code: 2, err: /cannot be read/ });
    t.match(await runDaemon(["--wrong"]), { code: 2, err: /Unknown argument/ });
    writeFileSync(file, validSettings);
    t.match(await runDaemon(["--settings", file, "--set", "platform.key_value=none", "--check"]), {
      code: 2,
      err: "no key-value plug-in is named none; known: http-kv",
    });
  },
);

t.test("--print masks secrets", async (t) => {
  const file = `${t.testdir()}/gladewall.ini`;
  writeFileSync(file, validSettings);
  const printed = await runDaemon(["--settings", file, "--print"]);
  t.equal(printed.code, 0);
  t.notMatch(printed.out, "a-secret-of-all-entries");
});
