/*
 * How the end of a response is marked, from its head, and what a peer says of the framing at the endpoint.
 */
import { Agent, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Attempt, BodyFraming, ExecutionStatus, getBodyFraming } from "@gladewall/gateway";
import t from "tap";

t.test("only a length, or chunks as the last coding, mark the end of a body", async (t) => {
  const cases: readonly [number, string, Record<string, string>, BodyFraming][] = [
    [200, "GET", { "content-length": "3" }, BodyFraming.Length],
    [200, "GET", { "transfer-encoding": "chunked" }, BodyFraming.Chunked],
    [200, "GET", { "transfer-encoding": "gzip, Chunked " }, BodyFraming.Chunked],
    [200, "GET", { "transfer-encoding": "gzip" }, BodyFraming.Connection],
    [200, "GET", {}, BodyFraming.Connection],
    [200, "HEAD", { "content-length": "3" }, BodyFraming.None],
    [204, "GET", {}, BodyFraming.None],
    [304, "GET", { "content-length": "3" }, BodyFraming.None],
  ];
  for (const [statusCode, method, headers, framing] of cases)
    t.equal(
      getBodyFraming({ statusCode, headers }, method),
      framing,
      JSON.stringify({ statusCode, headers }),
    );
});

t.test(
  "chunks of a peer that does not state the framing at the endpoint say nothing of the endpoint's end",
  async (t) => {
    const heads: readonly [Record<string, string>, BodyFraming][] = [
      [{}, BodyFraming.Connection],
      [{ "content-length": "2" }, BodyFraming.Length],
      [{ "gladewall-peer-framing": "Chunked" }, BodyFraming.Chunked],
      [{ "gladewall-peer-framing": "Connection" }, BodyFraming.Connection],
      [{ "gladewall-peer-framing": "Unheard-of" }, BodyFraming.Connection],
    ];
    const server = createServer((message, response) => {
      message.resume();
      const [head] = heads[Number(message.url?.slice(1))]!;
      response.writeHead(200, { "gladewall-peer-result": "Answered", ...head });
      response.flushHeaders();
      response.end("ok");
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const agent = new Agent();
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const head = { executionStatus: ExecutionStatus.Ran, load: undefined, notice: undefined };
    for (const [index, [sent, framing]] of heads.entries()) {
      const attempt = Attempt.create({
        pool: { host: "127.0.0.1", port, agent },
        protocol: { readResponseHead: () => head },
        isForwarded: true,
        requestId: "r",
        method: "GET",
        target: `/${index}`,
        headers: ["host", "app.test"],
        body: Buffer.alloc(0),
        connectTimeoutMs: 1_000,
        onHead: () => undefined,
        onFailure: () => undefined,
      });
      const { response } = await attempt.result;
      response?.message.resume();
      t.equal(response?.framing, framing, JSON.stringify(sent));
    }
  },
);
