/**
 * Starts instances of the system as the deploy file does: its command, at the root of the repository, with the settings file that its
 * template gives for a small deployment. Each instance has a loopback address of its own, so that ports are alike on all of them.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));

/** The bounds of the sheet of the small site. */
export const bounds = {
  drain_ms: 2_000,
  grace_s: 8,
  config_apply_ms: 2_000,
  revoke_ms: 5_000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 56,
  quota_window_s: 8,
  quota_overshoot: 0.1,
  quota_slack: 140_000,
  lease_ms: 3_000,
  report_window_s: 5,
};

/** Random start of the loopback addresses of one case, so that two cases don't meet. */
const subnet = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;

/** Returns a loopback address of this case. */
export function getHost(index) {
  return `${subnet}.${index}`;
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The instances of one case. */
export class Instances {
  #folder = mkdtempSync(`${tmpdir()}/gladewall-case-`);
  #children = new Map();

  constructor(platformAddress) {
    this.platformAddress = platformAddress;
    process.once("exit", () => this.close());
  }

  /** Starts an instance; resolves once its readiness address answers 200. */
  async start(index, { isFirst = true, zone = "zogno" } = {}) {
    const ip = getHost(index);
    const fields = {
      node_name: `edge-${zone}-${index}`,
      zone,
      ip,
      bootstrap: isFirst,
      port_range: [7600, 7615],
      listen: { front: `${ip}:8221`, readiness: `${ip}:8224` },
      limits: { link_mbps: 1000 },
      platform: { addr: this.platformAddress },
      cloud: { addr: this.platformAddress },
      bounds,
    };
    const file = `${this.#folder}/${index}.ini`;
    writeFileSync(file, fillTemplate(fields));
    const { PATH, HOME = "/tmp", LANG = "C" } = process.env;
    const options = ["--max-old-space-size=160", "--max-semi-space-size=2", "target/gladewalld.mjs"];
    const child = spawn("node", options, {
      cwd: root,
      env: { PATH, HOME, LANG, GLADEWALL_CONFIG: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(`${this.#folder}/${index}.log`, { flags: "a" });
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    child.isOver = new Promise((resolve) => child.once("exit", (code, signal) => resolve({ code, signal })));
    this.#children.set(index, child);
    const endsAt = Date.now() + 20_000;
    while (!(await isReady(`${ip}:8224`))) {
      if (child.exitCode !== null || Date.now() > endsAt)
        throw new Error(`instance ${index} does not get ready`);
      await sleep(50);
    }
    return child;
  }

  get(index) {
    return this.#children.get(index);
  }

  /** Returns what an instance has logged. */
  readLog(index) {
    return readFileSync(`${this.#folder}/${index}.log`, "utf8");
  }

  /** Ends all processes that were started. */
  close() {
    for (const child of this.#children.values()) child.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Fills the plain gaps `{{a.b}}` of the template of the deploy file. */
function fillTemplate(fields) {
  const template = readFileSync(`${root}/deploy/settings.ini.template`, "utf8");
  return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_, path) =>
    String(path.split(".").reduce((value, name) => value[name], fields)),
  );
}

/** Whether an instance says that it is ready, asked as the platform does. */
export function isReady(address) {
  return new Promise((resolve) => {
    const sent = get(`http://${address}/gladewall/readyz`, { timeout: 1_000, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(false));
  });
}
