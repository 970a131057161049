/*
 * Guards callers whose request was not sent: a connection that failed before `connect` returned counted as established, so that
 * requests that may run only once were answered 502 and not sent elsewhere.
 */
import { Agent, type ClientRequestArgs, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { connect, type Socket } from "node:net";
import { Attempt, AttemptOutcome } from "@gladewall/gateway";
import t from "tap";

/** Reserved for documentation, so that no host has it. */
const foreignAddress = "192.0.2.1";

class UnroutableAgent extends Agent {
  override createConnection(options: ClientRequestArgs): Socket {
    return connect({ host: "127.0.0.1", port: Number(options.port), localAddress: foreignAddress });
  }
}

function createAttempt(agent: Agent, port: number): Attempt {
  return Attempt.create({
    pool: { host: "127.0.0.1", port, agent },
    protocol: {
      readResponseHead: () => {
        throw new Error("no response is expected");
      },
    },
    requestId: "r",
    method: "POST",
    target: "/",
    headers: ["host", "app.test"],
    body: Buffer.from("body"),
    connectTimeoutMs: 1_000,
    onHead: () => undefined,
    onFailure: (error) => {
      throw error;
    },
  });
}

/** Sends a request that is answered, so that the agent keeps its connection. */
function openConnection(agent: Agent, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const sent = request({ host: "127.0.0.1", port, agent, headers: { "x-first": "1" } }, (response) => {
      response.resume();
      // The agent gets the connection back after the end of the response.
      response.on("end", () => setImmediate(resolve));
    });
    sent.on("error", reject);
    sent.end();
  });
}

t.test("an attempt whose connection fails at once was not sent", async (t) => {
  const attempt = createAttempt(new UnroutableAgent(), 9);
  const { outcome } = await attempt.result;
  t.equal(outcome, AttemptOutcome.NotSent);
  t.notOk(attempt.mayHaveRun);
});

t.test("an attempt whose kept connection is lost may have run", async (t) => {
  const server = createServer((message, response) => {
    message.resume();
    if (message.headers["x-first"] === undefined) message.socket.destroy();
    else message.on("end", () => response.end());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => {
    agent.destroy();
    server.close();
  });
  await openConnection(agent, port);
  const attempt = createAttempt(agent, port);
  t.equal((await attempt.result).outcome, AttemptOutcome.Lost);
  t.ok(attempt.mayHaveRun);
});
