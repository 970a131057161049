import t from "tap";
import {
  createAddress,
  createChoice,
  createDuration,
  createInteger,
  createSecret,
  createText,
  FailureCode,
  formatSettings,
  listChangedSettings,
  parseSettings,
  readSettings,
} from "../src/index.js";

const schema = {
  front: {
    listen: createAddress("Address.", "127.0.0.1:0"),
    width: createInteger("requests", 4, [1, 9], "Width."),
    mode: createChoice(["fast", "slow"], "fast", "Mode."),
  },
  peers: { secret: createSecret("Secret."), note: createText("Note.", "") },
};

function parse(text: string, environment: Record<string, string> = {}, overrides: string[] = []) {
  return parseSettings(schema, text, { file: "f.ini", environment, overrides });
}

const good = "[peers]\nsecret = s3cret-s3cret\n";

t.test("defaults, file, environment and flags override each other in that order", async (t) => {
  t.equal(parse(good).unwrap().front.width, 4);
  t.equal(parse(`${good}[front]\nwidth = 5\n`).unwrap().front.width, 5);
  t.equal(parse(`${good}[front]\nwidth = 5\n`, { GLADEWALL_FRONT_WIDTH: "6" }).unwrap().front.width, 6);
  const all = parse(`${good}[front]\nwidth = 5\n`, { GLADEWALL_FRONT_WIDTH: "6" }, ["front.width=7"]);
  t.equal(all.unwrap().front.width, 7);
});

t.test("each error names the file, the section, the key and the allowed values", async (t) => {
  const cases: readonly [string, FailureCode, string][] = [
    [
      "[front]\nwidth = x\n",
      FailureCode.SettingsWrongType,
      "f.ini: [front] width is not a whole number from 1 to 9 requests",
    ],
    [
      "[front]\nwidth = 10\n",
      FailureCode.SettingsOutOfRange,
      "f.ini: [front] width is out of range; allowed: a whole number from 1 to 9 requests",
    ],
    ["[front]\nmode = odd\n", FailureCode.SettingsWrongType, "f.ini: [front] mode is not one of fast, slow"],
    [
      "[front]\nlisten = nowhere\n",
      FailureCode.SettingsWrongType,
      "f.ini: [front] listen is not an address host:port",
    ],
    [
      "[front]\nlisten = a:70000\n",
      FailureCode.SettingsOutOfRange,
      "f.ini: [front] listen is out of range; allowed: an address host:port",
    ],
    [
      "[front]\nwidht = 1\n",
      FailureCode.SettingsUnknownKey,
      "f.ini: [front] has an unknown key widht; allowed: listen, width, mode",
    ],
    [
      "[frnt]\nwidth = 1\n",
      FailureCode.SettingsUnknownSection,
      "f.ini: unknown section [frnt]; allowed: front, peers",
    ],
    [
      "[front]\nwidth = 1\nwidth = 2\n",
      FailureCode.SettingsDuplicateKey,
      "f.ini: [front] width stands twice, again on line 5; allowed: once",
    ],
    [
      "[peers]\n",
      FailureCode.SettingsDuplicateSection,
      "f.ini: section [peers] stands twice, again on line 3; allowed: once",
    ],
    [
      "[front]\njust words\n",
      FailureCode.SettingsSyntax,
      "f.ini: line 4 is neither a section nor key = value",
    ],
  ];
  for (const [text, code, message] of cases) {
    const failures = parse(good + text).unwrapErr();
    t.same(
      failures.map((failure) => [failure.code, failure.text]),
      [[code, message]],
    );
  }
});

t.test("a duration is a number of milliseconds or has a unit, and may have decimals", async (t) => {
  const timed = { calls: { timeout: createDuration(1_500, [100, 60_000], "Timeout.") } };
  const read = (value: string) =>
    parseSettings(timed, `[calls]\ntimeout = ${value}\n`, { file: "f.ini", environment: {}, overrides: [] });
  const good: readonly [string, number][] = [
    ["250", 250],
    ["7.5s", 7_500],
    ["7.50 s", 7_500],
    ["2000.4ms", 2_000],
    ["60s", 60_000],
  ];
  for (const [text, value] of good) t.equal(read(text).unwrap().calls.timeout, value);
  for (const text of ["7.5000s5", "1m", "s", "-1s", "1e3"]) {
    t.equal(read(text).unwrapErr()[0]?.code, FailureCode.SettingsWrongType, text);
  }
  const [late] = read("61s").unwrapErr();
  t.match(late?.text, "[calls] timeout is out of range; allowed: a duration from 100 to 60000 ms");
});

t.test("a missing required key and a missing file are reported", async (t) => {
  t.equal(parse("[front]\n").unwrapErr()[0]?.code, FailureCode.SettingsMissingKey);
  const missing = readSettings(schema, { file: "/nonexistent/f.ini", environment: {}, overrides: [] });
  t.equal(missing.unwrapErr()[0]?.code, FailureCode.SettingsFileMissing);
});

t.test("all errors are reported at once", async (t) => {
  t.equal(parse("[front]\nwidth = 0\nmode = odd\n[x]\n").unwrapErr().length, 4);
});

t.test("secrets are masked when printed", async (t) => {
  const printed = formatSettings(schema, parse(good).unwrap());
  t.notMatch(printed, "s3cret");
  t.match(printed, "secret = (secret)");
});

t.test("settings that differ from the defaults are listed for the log, with secrets masked", async (t) => {
  const settings = parse(`${good}[front]\nwidth = 5\n`).unwrap();
  t.same(listChangedSettings(schema, settings), { "front.width": "5", "peers.secret": "(secret)" });
});

t.test("property names inherited from Object are not accepted as keys", async (t) => {
  t.equal(parse(`${good}[front]\nconstructor = 1\n`).unwrapErr()[0]?.code, FailureCode.SettingsUnknownKey);
});

t.test("former names of sections and keys are refused with their current names", async (t) => {
  const renamed = new Map([
    ["back", "front"],
    ["front.size", "front.width"],
  ]);
  const source = { file: "f.ini", environment: {}, overrides: [], renamed };
  const failures = parseSettings(
    schema,
    `${good}[back]\nmode = fast\n[front]\nsize = 5\n`,
    source,
  ).unwrapErr();
  t.same(
    failures.map(({ code, text }) => [code, text]),
    [
      [FailureCode.SettingsRenamed, "f.ini: [back] is now called [front]"],
      [FailureCode.SettingsRenamed, "f.ini: front.size is now called front.width"],
    ],
  );
});
