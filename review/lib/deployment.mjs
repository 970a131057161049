// A small deployment like `asavb-gladewall`: four instances in four data halls and a booking service with one runner in each.
import { performance } from "node:perf_hooks";
import { createClient } from "./client.mjs";
import { startEndpoint } from "./endpoint.mjs";
import { startFleet, wait } from "./fleet.mjs";
import { startStore } from "./store.mjs";

export const halls = ["zogno", "piazza", "lenna", "bergamo"];
/** Port at which callers reach each instance. */
export const callerPort = 8_221;
export const key = "i9n73hh2b9wu3fexd9dn";
const slots = 6;

export const limits = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** Returns a configuration with a route that may run at most once and one that may be repeated. */
export function createConfiguration(version) {
  const route = { host: "app.example", timeout_ms: 800, goal_ms: 386, priority: 2, service: "booking-app" };
  const tenant = { name: "hule930", api_keys: [key], unit: "tokens", plain_tokens: 200 };
  return {
    version,
    routes: [
      { ...route, name: "confirm", path_prefix: "/confirm/", type: "unsafe", attempts: 1 },
      { ...route, name: "lookup", path_prefix: "/lookup/", type: "safe", attempts: 2 },
    ],
    services: [{ name: "booking-app", health_path: "/healthz", max_conns: 110 }],
    limits,
    tenants: [{ ...tenant, rate_per_s: 1_000_000, burst: 1_000_000 }],
  };
}

/** Time that a request takes at a runner: 60 to 110 ms. */
function getWorkMs() {
  return 60 + Math.random() * 50;
}

/** Starts runners, spread over the data halls, and records them in the store; `respond` may replace the answers of runners. */
export async function startEndpoints(store, respond, count = halls.length) {
  const runs = [];
  const endpoints = [];
  for (let index = 0; index < count; index++) {
    const zone = halls[index % halls.length];
    const options = { id: `i-${index + 1}`, service: "booking-app", zone, slots, runs, getWorkMs, respond };
    const endpoint = await startEndpoint(options);
    endpoints.push(endpoint);
    store.put(endpoint.key, endpoint.record);
  }
  return { runs, endpoints };
}

/** Starts the deployment; `respond` may replace the answers of runners. */
export async function startDeployment({ respond, runners }) {
  const store = await startStore();
  const { runs, endpoints } = await startEndpoints(store, respond, runners);
  store.put("op/config", createConfiguration(7));
  const fleet = await startFleet({ halls, store: store.address });
  return {
    store,
    runs,
    endpoints,
    fleet,
    async close() {
      await fleet.close();
      for (const endpoint of endpoints) endpoint.close();
      store.close();
    },
  };
}

/** Sends one request after the other from a client of an instance until a time; returns the results. */
export async function sendUntil(instance, endsAt, { pauseMs, createCall }) {
  const client = createClient(instance, { key });
  const results = [];
  while (performance.now() < endsAt) {
    results.push(await client.send(createCall()));
    await wait(pauseMs * (0.5 + Math.random()));
  }
  client.close();
  return results;
}
