// Writes the figures of docs/CAPACITY.md from docs/results/capacity.json; with --check, only compares them and exits with 1 if
// they differ.
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const pageFile = `${root}docs/CAPACITY.md`;
const result = JSON.parse(readFileSync(`${root}docs/results/capacity.json`, "utf8"));
const blockPattern = /<!-- figures -->[\s\S]*?<!-- end of figures -->/;

/** Size of the system in two years, according to the users' requirements. */
const size = {
  entries: 320,
  endpoints: 1300,
  links: 16,
  requestsPerSecond: 8000,
  changesPerDay: 2800,
  onceOnlyShare: 0.05,
};
const secondsPerDay = 86_400;

const format = (value, digits = 1) => value.toFixed(digits);
const fit = (name) => result.fits[name];
const request = (kind) => result.requests.find((point) => point.kind === kind);

function formatPoints() {
  const head =
    "| entries | endpoints | sent B/s | frames/s | % of a core | heap MB | service calls/s | in force after ms |";
  const rows = result.points.map(
    (p) =>
      `| ${p.entries} | ${p.endpoints} | ${format(p.sentBytes, 0)} | ${format(p.sentFrames)} | ${format(p.processor, 2)} | ${format(p.memory / 1e6)} | ${format(p.serviceCalls, 2)} | ${format(p.inForceMs, 0)} |`,
  );
  return [head, "| --- | --- | --- | --- | --- | --- | --- | --- |", ...rows].join("\n");
}

function formatRequests() {
  const rows = result.requests.map(
    (p) => `| ${p.kind} | ${p.requests} | ${format(p.peerBytes, 0)} | ${format(p.processorMs, 2)} |`,
  );
  return [
    "| kind | whole | bytes to peers a request | ms of processor a request |",
    "| --- | --- | --- | --- |",
    ...rows,
  ].join("\n");
}

function formatReckoned() {
  const bytesPerLink = fit("bytes by entries").slope;
  const perInstance = size.requestsPerSecond / size.entries;
  const memory = fit("memory by endpoints");
  const processor = fit("processor by endpoints");
  const change = Math.max(...result.points.map((p) => p.changeBytes));
  const calls = Math.max(...result.points.map((p) => p.serviceCalls));
  const onceOnly = size.requestsPerSecond * size.onceOnlyShare;
  const lines = [
    [
      "pings on standing links (16 chosen, about 32 in all)",
      `${format(bytesPerLink * 2 * size.links, 0)} B/s`,
      "reckoned: slope × 32 links",
    ],
    [
      "configuration changes",
      `${format((change * size.changesPerDay) / secondsPerDay, 0)} B/s`,
      "reckoned: bytes a change × 2,800 a day",
    ],
    [
      "processor, idle, at 1,300 endpoints",
      `${format(processor.base + processor.slope * size.endpoints, 2)} % of a core`,
      "measured at 3 entries, stand-ins included",
    ],
    [
      "heap at 1,300 endpoints",
      `${format((memory.base + memory.slope * size.endpoints) / 1e6)} MB`,
      "measured at 3 entries",
    ],
    [
      "watches on the service, all entries",
      `${format(calls * size.entries, 0)} calls/s`,
      "reckoned: calls an instance × 320",
    ],
    [
      "claims, all entries",
      `${format(onceOnly, 0)}/s in at most 80 swaps/s`,
      "reckoned: 5% once-only; 8 shards, one swap each 100 ms",
    ],
    ["requests an instance", `${format(perInstance, 0)}/s`, "reckoned: 8,000 / 320"],
    [
      "copies and progress an instance (data, not control)",
      `${format((perInstance * request("Stream").peerBytes) / 1000, 0)} kB/s`,
      "reckoned: bytes a streamed request of 50 tokens × requests",
    ],
  ];
  const rows = lines.map(([what, figure, how]) => `| ${what} | ${figure} | ${how} |`);
  return ["| line | at two years' size | how |", "| --- | --- | --- |", ...rows].join("\n");
}

const block = [
  "<!-- figures -->",
  "",
  `Measured by \`${result.command}\`, ${result.window} ms a point, all entries and stand-ins in one process.`,
  "",
  formatPoints(),
  "",
  formatRequests(),
  "",
  "Worked out for two years' size:",
  "",
  formatReckoned(),
  "",
  "<!-- end of figures -->",
].join("\n");

const page = readFileSync(pageFile, "utf8");
const next = page.replace(blockPattern, () => block);
if (process.argv.includes("--check")) {
  if (next !== page) {
    console.error(
      "docs/CAPACITY.md does not show the figures of docs/results/capacity.json; run scripts/capacityPage.mjs",
    );
    process.exit(1);
  }
} else {
  writeFileSync(pageFile, next);
}
