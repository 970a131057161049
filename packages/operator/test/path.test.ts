import OpenAI from "openai";
import t from "tap";
import { request } from "undici";
import { Logger } from "@gladewall/kernel";
import { getFullText, fastEngineOptions, RunState } from "@gladewall/standins";
import { LocalFleet, localOperatorKey, sampleConfiguration, sampleKeys } from "../src/index.js";

const fleet = await LocalFleet.create({
  entries: 2,
  runners: 3,
  webEndpoints: 2,
  halls: ["zogno", "piazza", "lenna"],
  configuration: sampleConfiguration,
  engine: fastEngineOptions,
  logger: Logger.createSilent(),
  overrides: [],
});
t.teardown(() => fleet.close());

function getFront(index: number): string {
  return fleet.entries[index]?.addresses.front ?? "";
}

function createClient(index: number, apiKey: string = sampleKeys.cab): OpenAI {
  return new OpenAI({ apiKey, baseURL: `http://${getFront(index)}/v1`, maxRetries: 0 });
}

function getError(promise: Promise<unknown>): Promise<unknown> {
  return promise.then(
    () => undefined,
    (error: unknown) => error,
  );
}

function getRuns() {
  return [...fleet.engines.values()].flatMap((engine) => engine.records);
}

t.test("serves completions, streams and typed errors to the official OpenAI client", async (t) => {
  const messages = [{ role: "user" as const, content: "Where is the skip?" }];
  const completion = await createClient(0).chat.completions.create({
    model: "model",
    messages,
    max_tokens: 9,
  });
  const expected = getFullText("user: Where is the skip?", 9);
  t.equal(completion.choices[0]?.message.content, expected);
  t.equal(completion.usage?.completion_tokens, 9);
  const parts: string[] = [];
  const stream = await createClient(1).chat.completions.create({
    model: "model",
    messages,
    max_tokens: 9,
    stream: true,
  });
  for await (const chunk of stream) parts.push(chunk.choices[0]?.delta.content ?? "");
  t.equal(parts.join(""), expected);
  const text = await createClient(0).completions.create({ model: "model", prompt: "Gate?", max_tokens: 3 });
  t.equal(text.choices[0]?.text, getFullText("Gate?", 3));
  t.type(
    await getError(createClient(0, "wrong").chat.completions.create({ model: "model", messages })),
    OpenAI.AuthenticationError,
  );
  t.type(
    await getError(createClient(0).chat.completions.create({ model: "none", messages })),
    OpenAI.NotFoundError,
  );
  const models = await createClient(0).models.list();
  t.same(
    models.data.map(({ id }) => id),
    ["model"],
  );
});

t.test("forwards a request unchanged to a web service and returns its response", async (t) => {
  const response = await request(`http://${getFront(1)}/s/booking/bookings?day=2`, {
    method: "POST",
    headers: { authorization: `Bearer ${sampleKeys.dispatch}`, "content-type": "application/json" },
    body: '{"skip":1}',
  });
  t.equal(response.statusCode, 201);
  const body = (await response.body.json()) as { path: string; body: string };
  t.equal(body.path, "/bookings?day=2");
  t.equal(body.body, '{"skip":1}');
});

t.test("returns the explanation of a request only with the operator key", async (t) => {
  const response = await request(`http://${getFront(0)}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${sampleKeys.cab}`, "gladewall-class": "urgent" },
    body: JSON.stringify({ model: "model", prompt: "Why?", max_tokens: 2 }),
  });
  await response.body.dump();
  const id = String(response.headers["gladewall-request"]);
  const url = `http://${fleet.entries[0]?.addresses.operators}/v1/explain/request/${id}`;
  const unauthorized = await request(url);
  t.equal(unauthorized.statusCode, 401);
  await unauthorized.body.dump();
  const explained = await request(url, { headers: { authorization: `Bearer ${localOperatorKey}` } });
  const { text } = (await explained.body.json()) as { text: string };
  t.match(text, "Row cab/model/urgent of table version 1 admitted it with priority 9");
  t.match(text, /It was placed on runner-\d in data hall \w+ as attempt 1/);
  t.match(text, /It finished after/);
});

t.test(
  "answers a refused request with a problem that has code and outcome, and calls no endpoint",
  async (t) => {
    const before = getRuns().length;
    const response = await request(`http://${getFront(0)}/v1/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${sampleKeys.dispatch}` },
      body: JSON.stringify({ model: "model", prompt: "x", max_tokens: 0 }),
    });
    t.equal(response.statusCode, 400);
    t.equal(response.headers["content-type"], "application/problem+json");
    t.equal(response.headers["gladewall-outcome"], "not-run");
    const problem = (await response.body.json()) as { code: number; outcome: string };
    t.match(problem, { code: 2001, outcome: "not-run" });
    t.equal(getRuns().length, before);
  },
);

t.test("serves metrics, health and readiness on the operators' port", async (t) => {
  const operators = fleet.entries[0]?.addresses.operators;
  for (const [path, expected] of [
    ["healthz", "ok"],
    ["readyz", "ready"],
    ["metrics", "gladewall_finished_total"],
  ] as const) {
    const response = await request(`http://${operators}/${path}`);
    t.equal(response.statusCode, 200);
    t.match(await response.body.text(), expected);
  }
});

t.test("has finished every run of the tests above", async (t) => {
  t.ok(getRuns().every((run) => run.state === RunState.Finished));
});
