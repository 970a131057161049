/*
 * Guards against verdicts that operators can neither see nor end: a part of a prompt that is refused by mistake, or that a new software
 * version bears, was refused until somebody found its item in the store.
 */
import t, { type Test } from "tap";
import { gatewaySchema, partPrefix, renamedGatewaySettings, runVerdictCommand } from "@gladewall/gateway";
import { ExitCode, parseSettings } from "@gladewall/kernel";
import { FakePlatform, fakePlatformName, waitUntil } from "@gladewall/standins";
import { startPartFleet } from "./crashingParts.js";

const at = Date.UTC(2026, 0, 2, 3, 4, 5);

/** Runs the command against a platform; returns its exit code and lines. */
async function runCommand(platform: FakePlatform, argv: readonly string[]) {
  const lines: string[] = [];
  const readSettings = (_: string, overrides: readonly string[]) => {
    const text = [
      "[instance]",
      "name = i",
      "hall = a",
      "[listen]",
      "callers = 127.0.0.1:1",
      "readiness = 127.0.0.1:2",
      "peers = 127.0.0.1:3",
      "[platform]",
      `adapter = ${fakePlatformName}`,
      `store_address = ${platform.address}`,
      "orders_address = standin:1",
      "[peers]",
      "secret = s",
    ].join("\n");
    return parseSettings(gatewaySchema, text, {
      file: "test.ini",
      environment: {},
      overrides,
      renamed: renamedGatewaySettings,
    });
  };
  const code = await runVerdictCommand({
    argv,
    settingsFile: "test.ini",
    readSettings,
    print: (line) => lines.push(line),
    getTimeOfDay: () => at,
  });
  return { code, lines };
}

async function startConvicted(t: Pick<Test, "teardown">) {
  const fleet = await startPartFleet(t);
  const { bench, send, replaceReported } = fleet;
  // Sound requests clear the part that both have, which would be convicted with the other one.
  while ((await send(["first", "deadly"])).status !== 503) {
    await replaceReported();
    await send(["first", "other"]);
  }
  const getKeys = () => [...bench.platform.shared.entries.keys()].filter((key) => key.startsWith(partPrefix));
  await waitUntil(() => getKeys().length > 0);
  return { ...fleet, getKeys };
}

t.test(
  "a verdict is listed with its part, crashes and workspaces, and requests run again once it is cleared",
  async (t) => {
    const { bench, endpoints, send, getKeys } = await startConvicted(t);
    const isListed = async (): Promise<boolean> => {
      const { lines } = await runCommand(bench.platform, ["list"]);
      return lines.some((line) =>
        /refused {2}part {2}web deadly .*crashed e\d+,e\d+,e\d+ {2}since 20/.test(line),
      );
    };
    while (!(await isListed())) await send(["first", "other"]);
    const id = getKeys()[0]!.slice(partPrefix.length);
    const cleared = await runCommand(bench.platform, ["clear", id, "--by", "ada"]);
    t.same(cleared, { code: ExitCode.Success, lines: [`${id} cleared by ada`] });
    const { lines } = await runCommand(bench.platform, ["list"]);
    t.ok(lines.includes(`${id}  cleared  web deadly  by ada  at 2026-01-02T03:04:05.000Z`), lines.join("\n"));
    endpoints.isDeadly = () => false;
    for (const instance of bench.instances) {
      const isCleared = async (): Promise<boolean> =>
        /^gladewall_convicted_parts 0$/m.test(await bench.readMetrics(instance));
      while (!(await isCleared())) await send(["first", "other"]);
    }
    for (let index = 0; index < 3; index++) t.equal((await send(["first", "deadly"])).status, 200);
  },
);

t.test("an unknown id and bad arguments are told, and nothing is changed", async (t) => {
  const platform = FakePlatform.create();
  t.same(await runCommand(platform, ["list"]), { code: ExitCode.Success, lines: ["no verdicts"] });
  t.same(await runCommand(platform, ["clear", "x", "--by", "ada"]), {
    code: ExitCode.Failed,
    lines: ["x is not listed"],
  });
  const noName = await runCommand(platform, ["clear", "x"]);
  t.equal(noName.code, ExitCode.InvalidSettings);
  t.match(noName.lines[0], /gladewalld verdicts: .*by/);
  const none = await runCommand(platform, []);
  t.equal(none.code, ExitCode.InvalidSettings);
  t.equal(platform.shared.entries.size, 0);
});
