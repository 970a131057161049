/**
 * `gladewall local`: starts the whole system in one process, then sends a model request and a web request and prints
 * the explanation of the first.
 * @module
 */
import { Logger, LogLevel } from "@gladewall/kernel";
import { fastEngineOptions } from "@gladewall/standins";
import { request } from "undici";
import { LocalFleet, localOperatorKey } from "../local/localFleet.js";
import { sampleConfiguration, sampleKeys } from "../local/sampleTable.js";

/** Command-line options of `gladewall local`. */
export interface LocalArguments {
  readonly exit: boolean;
  readonly entries: number;
  readonly verbose: boolean;
}

/** Data halls of the local fleet. */
const halls = ["zogno", "piazza", "lenna", "bergamo"];
const runnerCount = 6;
const webCount = 4;

type Print = (line: string) => void;

/** Runs the command and resolves with the exit code. */
export async function runLocal(options: LocalArguments, print: Print): Promise<number> {
  const fleet = await LocalFleet.create({
    entries: options.entries,
    runners: runnerCount,
    webEndpoints: webCount,
    halls,
    configuration: sampleConfiguration,
    engine: { ...fastEngineOptions, tokenIntervalMs: 5 },
    logger: Logger.create(options.verbose ? LogLevel.Info : LogLevel.Error),
    overrides: [],
  });
  printAddresses(fleet, print);
  const hasSucceeded = await showRequests(fleet, print);
  if (options.exit) {
    await fleet.close();
    return hasSucceeded ? 0 : 1;
  }
  print("\nRunning until Ctrl-C.");
  await waitForSignal();
  await fleet.close();
  return 0;
}

function printAddresses(fleet: LocalFleet, print: Print): void {
  print(`key-value service  http://${fleet.keyValue.address}`);
  print(`list and notices   http://${fleet.platform.address}`);
  print(`weight store       http://${fleet.weights.address}`);
  for (const [id, engine] of fleet.engines) print(`${id.padEnd(18)} http://${engine.address}`);
  for (const [id, web] of fleet.webs) print(`${id.padEnd(18)} http://${web.address}`);
  for (const { addresses, record } of fleet.entries) {
    print(
      `${record.id.padEnd(18)} callers http://${addresses.front}  operators http://${addresses.operators}  (${record.hall})`,
    );
  }
  const front = fleet.entries[0]?.addresses.front ?? "";
  print("\nTry it:");
  print(`  curl -N http://${front}/v1/chat/completions -H 'Authorization: Bearer ${sampleKeys.cab}' \\`);
  print("    -H 'Gladewall-Class: urgent' -H 'Content-Type: application/json' \\");
  print(
    `    -d '{"model":"model","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"gate code?"}]}'`,
  );
}

async function showRequests(fleet: LocalFleet, print: Print): Promise<boolean> {
  const [first, second] = fleet.entries;
  if (!first || !second) return false;
  print("\nA driver's question, streamed by one entry:");
  const stream = await post(`http://${first.addresses.front}/v1/chat/completions`, sampleKeys.cab, {
    model: "model",
    stream: true,
    max_tokens: 8,
    messages: [{ role: "user", content: "What is the gate code of the Lenna depot?" }],
  });
  print(stream.body.trimEnd());
  print("\nA booking that may run only once, through another entry:");
  const booking = await post(
    `http://${second.addresses.front}/s/booking/bookings`,
    sampleKeys.dispatch,
    { skip: "6 yard", street: "Via Roma 4" },
    { "idempotency-key": "booking-1" },
  );
  print(`${booking.status} ${booking.body}`);
  print("\nWhy the first was served as it was:");
  print(await explain(first.addresses.operators, stream.request));
  return stream.status === 200 && booking.status === 201 && stream.body.includes("[DONE]");
}

interface PrintedResponse {
  readonly status: number;
  readonly body: string;
  readonly request: string;
}

async function post(
  url: string,
  key: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<PrintedResponse> {
  const response = await request(url, {
    method: "POST",
    headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  return {
    status: response.statusCode,
    body: text,
    request: String(response.headers["gladewall-request"] ?? ""),
  };
}

async function explain(operators: string, id: string): Promise<string> {
  const response = await request(`http://${operators}/v1/explain/request/${id}`, {
    headers: { authorization: `Bearer ${localOperatorKey}` },
  });
  const parsed = (await response.body.json()) as { text?: string; detail?: string };
  return parsed.text ?? parsed.detail ?? "no explanation";
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
  });
}
