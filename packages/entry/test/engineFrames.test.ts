/*
 * Guards an entry against streams of engines without end: an event that never ends, events and comments that are nothing of the run, and
 * events of the run without end were read until the request's deadline.
 */
import { FailureCode, VirtualClock } from "@gladewall/kernel";
import t from "tap";
import { FrameReader } from "../src/plugins/engineFrames.js";
import type { Dispatch, RunSink } from "../src/types.js";

const megabyte = 1_048_576;
const partBytes = 16_384;
const idleTimeout = 1_000;
const text = "x".repeat(partBytes);

function createEvent(attempt: number, position: number, content: string, finish?: string): string {
  const choices = [{ index: 0, delta: { content }, finish_reason: finish }];
  return `id: ${attempt}:${position}\ndata: ${JSON.stringify({ choices })}\n\n`;
}

/** Reads a stream of `parts` parts; `onPart` is called after each. Returns how it ended and what was taken. */
async function readStream(
  getPart: (index: number) => string,
  parts: number,
  onPart: (clock: VirtualClock) => Promise<void> = () => Promise.resolve(),
) {
  const clock = VirtualClock.create();
  const taken = { parts: 0, bytes: 0, chunks: 0 };
  async function* send(): AsyncGenerator<Uint8Array> {
    for (; taken.parts < parts; taken.parts++) {
      const bytes = Buffer.from(getPart(taken.parts));
      taken.bytes += bytes.length;
      yield bytes;
      await onPart(clock);
    }
  }
  const dispatch = { attempt: 1, emitted: 0, envelope: { model: { isContinuable: true } } };
  const sink: RunSink = {
    setHead: () => undefined,
    setLoad: () => undefined,
    add: () => {
      taken.chunks += 1;
      return Promise.resolve();
    },
  };
  const options = { endpoint: "e", idleTimeout, clock };
  const result = await FrameReader.create(dispatch as unknown as Dispatch, sink, options).read(send());
  return { ...taken, code: result.isErr() ? result.error.code : undefined };
}

const unusedStreams: Readonly<Record<string, (index: number) => string>> = {
  "an event that never ends": (index) => (index === 0 ? "id: 1:0\ndata: " : text),
  "a line that never ends": () => text,
  "events of another attempt": (index) => createEvent(2, index, text),
  "an event again and again": () => createEvent(1, 0, text),
  comments: () => `: ${text}\n\n`,
};

for (const [name, getPart] of Object.entries(unusedStreams)) {
  t.test(`${name} without end`, async (t) => {
    const { code, bytes } = await readStream(getPart, 1_000);
    t.equal(code, FailureCode.EndpointBadAnswer);
    t.ok(bytes <= megabyte + 4 * partBytes, `${bytes} bytes were taken`);
  });
}

t.test("events of the run without end", async (t) => {
  const { code, bytes } = await readStream((index) => createEvent(1, index, text), 8_000);
  t.equal(code, FailureCode.EndpointBadAnswer);
  t.ok(bytes > 63 * megabyte && bytes <= 64 * megabyte + 4 * partBytes, `${bytes} bytes were taken`);
});

t.test("comments keep a stream open for some idle timeouts only", async (t) => {
  const wait = (clock: VirtualClock): Promise<void> => clock.advance(idleTimeout / 2);
  const { code, parts } = await readStream(() => ": waits\n\n", 1_000, wait);
  t.equal(code, FailureCode.EndpointCut, "the run may be resumed");
  t.equal(parts, 9);
});

t.test("a sound stream of long events, each of which takes its time, is whole", async (t) => {
  const events = [0, 1, 2, 3].flatMap((position) => [
    ": waits\n\n",
    createEvent(1, position, text.repeat(60)),
  ]);
  const all = [...events, createEvent(1, 4, "", "stop"), "data: [DONE]\n\n"];
  const wait = (clock: VirtualClock): Promise<void> => clock.advance(idleTimeout);
  const { code, chunks } = await readStream((index) => all[index]!, all.length, wait);
  t.equal(code, undefined);
  t.equal(chunks, 5);
});
