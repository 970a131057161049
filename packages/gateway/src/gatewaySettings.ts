/**
 * Declares the settings of an instance that runs the gateway: sections, keys, default values and allowed
 * ranges.
 * @module
 */
import {
  createAddress,
  createChoice,
  createDecimal,
  createDuration,
  createFlag,
  createInteger,
  markReloadable,
  createSecret,
  createText,
  type SettingsOf,
} from "@gladewall/kernel";

const minute = 60_000;

/** Every section and key. */
export const gatewaySchema = {
  instance: {
    name: createText("name of the instance; unlike every other instance's"),
    hall: createText("data hall that the instance runs in"),
    first_start: createFlag(false, "whether the whole system starts for the first time"),
  },
  listen: {
    callers: createAddress("where callers connect"),
    readiness: createAddress("where the platform asks whether the instance is ready"),
    peers: createAddress("where other instances connect"),
    forwarding: createAddress(
      "where other instances pass requests on that they cannot send themselves; port 0 takes a free one",
      "127.0.0.1:0",
    ),
    metrics: createAddress("where metrics are read", "127.0.0.1:0"),
    // An instance is ready 0.1 to 0.3 s after its first port is open (logs of restarts); a refused caller retries
    // much later.
    start_hold: createDuration(
      400,
      [0, minute],
      "time after a start in which requests wait for the instance to be ready",
    ),
  },
  platform: {
    adapter: createText("name of the platform plug-in"),
    store_address: createAddress("the platform's store"),
    orders_address: createAddress("the platform's interface for orders"),
    timeout: createDuration(1_200, [50, minute], "longest time of a call"),
  },
  peers: {
    secret: createSecret("secret that all instances share"),
    report_interval: markReloadable(createDuration(150, [20, 10_000], "time between two reports to peers")),
    largest_mesh: createInteger(
      "instances",
      10,
      [1, 1_000],
      "instances up to which each reports to every other; beyond it, to a few readers of the store only",
    ),
    large_fleet_interval: createDuration(
      250,
      [20, 10_000],
      "time between two reports while there are more instances than that",
    ),
    max_forwarded: createInteger(
      "requests",
      256,
      [0, 100_000],
      "requests of other instances that are passed on at once",
    ),
    capacity: createDecimal(
      "",
      0,
      [0, 1_000_000_000],
      "what the instance can carry, for instance Mbit/s; those with the most read the store for all",
    ),
  },
  configuration: {
    proof_interval: createDuration(
      1_500,
      [50, minute],
      "time between two reads that prove the version in force",
    ),
    apply_within: createDuration(
      2_000,
      [200, minute],
      "time in which a newer configuration must be in force",
    ),
    revoke_within: createDuration(5_000, [500, minute], "time after which a removed key runs nothing"),
    revoke_margin: createDuration(400, [0, minute], "part of it that is kept for clocks and scheduling"),
  },
  endpoints: {
    drain: createDuration(
      2_000,
      [100, minute],
      "time in which work must stop going to an endpoint that leaves",
    ),
    connect_timeout: createDuration(250, [10, minute], "longest time to open a connection"),
    prefill_rate: createDecimal(
      "tokens/ms",
      50,
      [0.1, 100_000],
      "prompt tokens that an engine reads in a millisecond, as assumed until its speed has been learned",
    ),
  },
  retries: {
    ratio: createDecimal("", 0.2, [0, 10], "repeats that a service may get for each of its requests"),
    window: createDuration(10_000, [1_000, 10 * minute], "window that repeats are counted over"),
    slack: createDecimal("requests", 56, [0, 1_000_000], "repeats of a window beside the ratio"),
  },
  quotas: {
    window: createDuration(8_000, [1_000, 10 * minute], "window that limits are counted over"),
    slack: createDecimal("units", 0, [0, 1_000_000_000], "units over a limit that are borne once"),
    overshoot: createDecimal("", 0, [0, 10], "share of a limit that is borne over it"),
  },
  orders: {
    turn: createDuration(
      3_000,
      [1_000, 10 * minute],
      "time in which no two instances may give orders by turns",
    ),
    usage_window: createDuration(5_000, [1_000, 10 * minute], "length of a usage window"),
    least_per_hall: createDecimal(
      "endpoints",
      1.5,
      [0, 1_000],
      "endpoints of a data hall that are kept without load",
    ),
    utilization: createDecimal("", 0.4, [0.01, 1], "share of an engine's reading rate that is planned with"),
  },
  overload: {
    mode: markReloadable(
      createChoice(
        ["off", "observe", "on"],
        "on",
        "whether short capacity is shared out: not at all, only decided and logged, or in effect",
      ),
    ),
    max_waiting: createInteger(
      "requests",
      256,
      [1, 100_000],
      "requests that wait for a slot of one service, all instances together",
    ),
    max_wait: createDecimal(
      "",
      3,
      [0, 100],
      "longest wait for a slot, as a multiple of the route's latency objective; then the request is refused",
    ),
  },
  leaving: {
    unnoticed: createDuration(
      3_200,
      [0, minute],
      "time after the request to stop in which new callers may still be sent here",
    ),
    grace: createDuration(8_000, [1_000, 10 * minute], "time between the request to stop and the kill"),
  },
  logs: {
    level: markReloadable(
      createChoice(["error", "warn", "info", "debug"], "info", "least severity that is written"),
    ),
  },
} as const;

/** Earlier names of sections and keys, and their current names. */
export const renamedGatewaySettings: ReadonlyMap<string, string> = new Map([
  ["node", "instance"],
  ["backends", "endpoints"],
  ["instance.zone", "instance.hall"],
  ["orders.least_per_zone", "orders.least_per_hall"],
]);

/** The settings as they were read. */
export type GatewaySettings = SettingsOf<typeof gatewaySchema>;
