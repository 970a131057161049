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

t.test("the official OpenAI client completes, streams and reads typed errors", async (t) => {
  const messages = [{ role: "user" as const, content: "Where is the skip?" }];
  const whole = await createClient(0).chat.completions.create({ model: "model", messages, max_tokens: 9 });
  const expected = getFullText("user: Where is the skip?", 9);
  t.equal(whole.choices[0]?.message.content, expected);
  t.equal(whole.usage?.completion_tokens, 9);
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

t.test("a web service gets the request as it was sent, and the caller its answer", async (t) => {
  const answer = await request(`http://${getFront(1)}/s/booking/bookings?day=2`, {
    method: "POST",
    headers: { authorization: `Bearer ${sampleKeys.dispatch}`, "content-type": "application/json" },
    body: '{"skip":1}',
  });
  t.equal(answer.statusCode, 201);
  const body = (await answer.body.json()) as { path: string; body: string };
  t.equal(body.path, "/bookings?day=2");
  t.equal(body.body, '{"skip":1}');
});

t.test("the reason of a request can be asked for, by operators only", async (t) => {
  const answer = await request(`http://${getFront(0)}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${sampleKeys.cab}`, "gladewall-class": "urgent" },
    body: JSON.stringify({ model: "model", prompt: "Why?", max_tokens: 2 }),
  });
  await answer.body.dump();
  const id = String(answer.headers["gladewall-request"]);
  const url = `http://${fleet.entries[0]?.addresses.operators}/v1/explain/request/${id}`;
  const refused = await request(url);
  t.equal(refused.statusCode, 401);
  await refused.body.dump();
  const explained = await request(url, { headers: { authorization: `Bearer ${localOperatorKey}` } });
  const { text } = (await explained.body.json()) as { text: string };
  t.match(text, "Row cab/model/urgent of table version 1 admitted it with priority 9");
  t.match(text, /It was placed on runner-\d in data hall \w+ as attempt 1/);
  t.match(text, /It finished after/);
});

t.test("a refused request is a problem with code and outcome, and never reached an endpoint", async (t) => {
  const before = getRuns().length;
  const answer = await request(`http://${getFront(0)}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${sampleKeys.dispatch}` },
    body: JSON.stringify({ model: "model", prompt: "x", max_tokens: 0 }),
  });
  t.equal(answer.statusCode, 400);
  t.equal(answer.headers["content-type"], "application/problem+json");
  t.equal(answer.headers["gladewall-outcome"], "not-run");
  const problem = (await answer.body.json()) as { code: number; outcome: string };
  t.match(problem, { code: 2001, outcome: "not-run" });
  t.equal(getRuns().length, before);
});

t.test("metrics, health and readiness stand on the operators' port", async (t) => {
  const operators = fleet.entries[0]?.addresses.operators;
  for (const [path, expected] of [
    ["healthz", "ok"],
    ["readyz", "ready"],
    ["metrics", "gladewall_finished_total"],
  ] as const) {
    const answer = await request(`http://${operators}/${path}`);
    t.equal(answer.statusCode, 200);
    t.match(await answer.body.text(), expected);
  }
});

t.test("every run of the engines that was not cancelled finished", async (t) => {
  t.ok(getRuns().every((run) => run.state === RunState.Finished));
});
