/*
 * Guards an entry against its own failures on one request's way: a request whose response had begun stayed open, and a planned stop
 * waited for it.
 */
import { get } from "node:http";
import t, { type Test } from "tap";
import { Failure, FailureCode, Logger, parseAddress } from "@gladewall/kernel";
import { CallerServer, type Exchange, type RouteHandler } from "../src/callerServer.js";

const front = {
  listen: "127.0.0.1:0",
  header_bytes: 16_384,
  header_timeout: 10_000,
  body_bytes: 1_024,
  upload_bytes: 1_024,
  body_timeout: 10_000,
  write_timeout: 60_000,
  connections: 16,
  trusted_proxies: 0,
};

/** Where a handler fails. */
enum FailurePoint {
  BeforeHead = 1,
  AfterHead = 2,
  AfterEnd = 3,
}

/** What a caller received. */
interface Received {
  readonly status: number;
  readonly isComplete: boolean;
}

/** Writes a response up to a point. */
const writers: Readonly<Record<FailurePoint, (exchange: Exchange) => void>> = {
  [FailurePoint.BeforeHead]: () => undefined,
  [FailurePoint.AfterHead]: ({ response }) => {
    response.writeHead(200, { "content-length": 100 });
    response.write("begun");
  },
  [FailurePoint.AfterEnd]: ({ response }) => void response.end("whole"),
};

/** Sends a request to a server whose only route has a handler; resolves once the response is over on both sides. */
async function callHandler(t: Test, handler: RouteHandler): Promise<Received> {
  const routes = [{ pattern: /^\/$/, methods: { GET: handler } }];
  const server = CallerServer.create(front, Logger.createSilent(), routes, () => "r-1");
  const { host, port } = parseAddress(await server.open());
  t.teardown(() => server.close());
  const received = await new Promise<Received>((resolve, reject) => {
    get({ host, port, agent: false }, (response) => {
      response.on("error", () => undefined).resume();
      response.on("close", () =>
        resolve({ status: response.statusCode ?? 0, isComplete: response.complete }),
      );
    }).on("error", reject);
  });
  await server.waitForIdle();
  return received;
}

const expected: readonly (readonly [FailurePoint, Received])[] = [
  [FailurePoint.BeforeHead, { status: 500, isComplete: true }],
  [FailurePoint.AfterHead, { status: 200, isComplete: false }],
  [FailurePoint.AfterEnd, { status: 200, isComplete: true }],
];

for (const [point, received] of expected) {
  const name = FailurePoint[point];
  t.test(`a handler that throws leaves no request open: ${name}`, async (t) => {
    const handle: RouteHandler = async (exchange) => {
      writers[point](exchange);
      throw new Error("a failure of the entry itself");
    };
    t.strictSame(await callHandler(t, handle), received);
  });

  t.test(`a handler that returns a failure leaves no request open: ${name}`, async (t) => {
    const handle: RouteHandler = async (exchange) => {
      writers[point](exchange);
      return Failure.create(FailureCode.Internal, { detail: "of the entry itself" });
    };
    t.strictSame(await callHandler(t, handle), received);
  });
}
