// Starts instances of the daemon as processes with the command and the settings template of the deploy file. An instance that ends is
// started again after a short delay, as the platform does it. Only processes that were started here are ended, by their id.
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));
const command = readFileSync(`${root}deploy/system.toml`, "utf8")
  .match(/^run = "node (.*)"$/m)[1]
  .split(" ");
const template = readFileSync(`${root}deploy/settings.ini.template`, "utf8");
const probeTimeoutMs = 500;
const readyPollMs = 50;
const readyTimeoutMs = 15_000;
const restartDelayMs = 300;
const failedExitCode = 2;
const ports = { front: 8_221, readiness: 8_224, first: 7_600, last: 7_615 };

/** Bounds of the deployment `asavb-gladewall`, as its sheet gives them. */
const bounds = {
  config_apply_ms: 2_000,
  revoke_ms: 5_000,
  drain_ms: 2_000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 56,
  quota_window_s: 8,
  quota_slack: 140_000,
  quota_overshoot: 0.1,
  lease_ms: 3_000,
  report_window_s: 5,
  grace_s: 8,
};

export function wait(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function render(fields) {
  return template.replace(/\{\{([a-z0-9_.]+)\}\}/g, (_, path) =>
    String(path.split(".").reduce((value, name) => value[name], fields)),
  );
}

/** Whether an instance calls itself ready. */
function isReady({ ip }) {
  return new Promise((resolve) => {
    const target = { host: ip, port: ports.readiness, path: "/gladewall/readyz", timeout: probeTimeoutMs };
    const probe = get(target, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    probe.on("timeout", () => probe.destroy());
    probe.on("error", () => resolve(false));
  });
}

/** The instances of one play. */
class Fleet {
  folder = mkdtempSync(`${tmpdir()}/gladewall-review-`);
  /** A loopback network of this play, so that the fixed ports of the template are free. */
  network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 256)}`;
  /** Ends of processes, with whether a signal of the play asked for it. */
  ends = [];
  startedAt = performance.now();
  isClosing = false;

  constructor(options) {
    this.options = options;
    this.instances = options.halls.map((hall, index) => this.createInstance(hall, index));
    process.once("exit", () => this.handleExit());
    for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(failedExitCode));
  }

  createInstance(hall, index) {
    const { store, cloud = store } = this.options.links?.[index] ?? this.options;
    const ip = `${this.network}.${index + 1}`;
    const name = `edge-${hall}-${index + 1}`;
    const fields = {
      node_name: name,
      zone: hall,
      ip,
      listen: { front: `${ip}:${ports.front}`, readiness: `${ip}:${ports.readiness}` },
      port_range: [ports.first, ports.last],
      platform: { addr: store },
      cloud: { addr: cloud },
      limits: { link_mbps: 1_000 },
      bounds,
    };
    const file = `${this.folder}/${name}.ini`;
    return { name, hall, ip, file, fields, log: `${this.folder}/${name}.log`, starts: 0 };
  }

  start(instance) {
    writeFileSync(instance.file, render({ ...instance.fields, bootstrap: instance.starts === 0 }));
    instance.starts += 1;
    const log = openSync(instance.log, "a");
    const { PATH, HOME, LANG = "C" } = process.env;
    const env = { PATH, HOME, LANG, GLADEWALL_CONFIG: instance.file };
    const child = spawn(process.execPath, command, { cwd: root, env, stdio: ["ignore", log, log] });
    closeSync(log);
    instance.process = child;
    child.once("exit", (code, signal) => this.handleEnd(instance, code, signal));
  }

  handleEnd(instance, code, signal) {
    if (this.isClosing) return;
    const isExpected = instance.isSignalled === true;
    instance.isSignalled = false;
    this.ends.push({ at: performance.now(), name: instance.name, code, signal, isExpected });
    setTimeout(() => {
      if (!this.isClosing) this.start(instance);
    }, restartDelayMs);
  }

  async waitUntilReady(instance) {
    const until = performance.now() + readyTimeoutMs;
    while (!(await isReady(instance))) {
      if (performance.now() > until) throw new Error(`${instance.name} did not become ready`);
      await wait(readyPollMs);
    }
  }

  /** Sends a signal to an instance; an end that follows from it is expected. */
  signal(instance, signal) {
    if (signal === "SIGKILL" || signal === "SIGTERM") instance.isSignalled = true;
    instance.process.kill(signal);
  }

  getLog(instance) {
    return readFileSync(instance.log, "utf8");
  }

  killAll() {
    this.isClosing = true;
    for (const { process: child } of this.instances) child?.kill("SIGKILL");
  }

  /** Ends what is left when the play itself ends, also after a failure. */
  handleExit() {
    this.killAll();
    rmSync(this.folder, { recursive: true, force: true });
  }

  async close() {
    this.killAll();
    const running = this.instances
      .map(({ process: child }) => child)
      .filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null);
    await Promise.all(running.map((child) => new Promise((resolve) => child.once("exit", resolve))));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Starts the instances; `halls` names the data hall of each, `store` and `cloud` the addresses of the platform; with `links`, each instance
 * has addresses of its own. Resolves once all of them are ready.
 */
export async function startFleet(options) {
  const fleet = new Fleet(options);
  for (const instance of fleet.instances) fleet.start(instance);
  try {
    await Promise.all(fleet.instances.map((instance) => fleet.waitUntilReady(instance)));
  } catch (error) {
    fleet.killAll();
    throw error;
  }
  return fleet;
}
