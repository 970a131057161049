/*
 * Endpoints in need named in their answers how many requests a second they take of all instances together, and got more: two that
 * had named one a second got 12 within four seconds, 11 being borne. Seven instances sent them, none more than four of these.
 */
import t, { type Test } from "tap";
import {
  type EndpointCall,
  GatewayBench,
  ScriptedEndpoint,
  answerGood,
  waitUntil,
} from "@gladewall/standins";

const windowMs = 4_000;
/** Share of a limit, and requests beside it, that an endpoint in need bears in a window. */
const borneShare = 1.5;
const borneRequests = 5;

/** Most requests that an endpoint bears in a window. */
function getBorne(perSecond: number): number {
  return borneShare * perSecond * (windowMs / 1_000) + borneRequests;
}

/** Answers well and names a limit; notes when requests arrive. */
function createLimited(perSecond: number) {
  const arrivals: number[] = [];
  const script = (call: EndpointCall): void => {
    arrivals.push(performance.now());
    call.response.setHeader("x-limit", String(perSecond));
    answerGood(call);
  };
  const getWorst = (): number =>
    Math.max(
      0,
      ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + windowMs).length),
    );
  return { script, getWorst, arrivals };
}

/** Instances before one endpoint that names a limit, and others that do not. */
async function startLimited(
  t: Pick<Test, "teardown">,
  instanceCount: number,
  perSecond: number,
  others: number,
) {
  const bench = GatewayBench.create();
  bench.platform.configure({});
  const limited = createLimited(perSecond);
  const endpoints = [await ScriptedEndpoint.create("limited", limited.script)];
  for (let index = 0; index < others; index++) endpoints.push(await ScriptedEndpoint.create(`good${index}`));
  for (const { id, address } of endpoints) bench.platform.list({ id, address });
  for (let index = 0; index < instanceCount; index++) await bench.startReady(endpoints.length);
  await waitUntil(() => bench.instances.every(({ gateway }) => gateway.linkedPeers === instanceCount - 1));
  t.teardown(() => Promise.all([bench.close(), ...endpoints.map((endpoint) => endpoint.close())]));
  const callAll = async (rounds: number): Promise<number[]> => {
    const statuses: number[] = [];
    for (let round = 0; round < rounds; round++) {
      const answers = await Promise.all(bench.instances.map((instance) => bench.call(instance)));
      statuses.push(...answers.map(({ status }) => status));
    }
    return statuses;
  };
  return { bench, limited, callAll };
}

t.test("all instances together send an endpoint no more than the limit that it names", async (t) => {
  for (const [instances, perSecond] of [
    [1, 1],
    [4, 1],
    [4, 0],
    [4, 5],
  ] as const) {
    const { limited, callAll } = await startLimited(t, instances, perSecond, 1);
    const statuses = await callAll(240 / instances);
    t.ok(limited.arrivals.length > 0);
    const told = `${instances} instances, ${perSecond} a second: ${limited.getWorst()} in a window`;
    t.ok(limited.getWorst() <= getBorne(perSecond), told);
    t.ok(
      statuses.every((status) => status === 200),
      "others serve what it does not take",
    );
  }
});
