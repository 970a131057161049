/*
 * Compares the event splitter with a naive reading of the same bytes, for streams in all forms that lines can end in, cut at every
 * byte and received in pieces of every size.
 */
import { EventSplitter } from "@gladewall/gateway";
import fc from "fast-check";
import t from "tap";

/** What a stream consists of up to a cut. */
interface Reading {
  /** Bytes of all complete events. */
  readonly completeBytes: number;
  readonly isInsideEvent: boolean;
  readonly lastEventId: string | undefined;
}

const linePattern = /([^\r\n]*)(\r\n|\r|\n)/g;

/** Reads a stream from its beginning, line by line. */
function readNaively(text: string): Reading {
  let reading: Reading = { completeBytes: 0, isInsideEvent: false, lastEventId: undefined };
  let hasField = false;
  let id: string | undefined;
  let lineEnd = "";
  let end = 0;
  for (const { 0: whole, 1: content = "", 2: terminator = "", index } of text.matchAll(linePattern)) {
    end = index + whole.length;
    const line = index === 0 ? content.replace(/^\uFEFF/, "") : content;
    const isHalf = terminator === "\r" && lineEnd === "\r\n" && end === text.length;
    lineEnd = terminator;
    if (line === "" && !isHalf) {
      const lastEventId = hasField ? (id ?? reading.lastEventId) : reading.lastEventId;
      reading = { completeBytes: Buffer.byteLength(text.slice(0, end)), isInsideEvent: false, lastEventId };
      hasField = false;
      id = undefined;
    }
    if (line !== "" && !line.startsWith(":")) hasField = true;
    const field = /^id(?:: ?(.*))?$/.exec(line);
    if (field) id = field[1] ?? "";
  }
  return { ...reading, isInsideEvent: hasField || end < text.length };
}

/** Gives a splitter the bytes in pieces, and returns what it knows in the end. */
function split(bytes: Buffer, pieceBytes: number): Reading & { readonly whole: Buffer } {
  const splitter = EventSplitter.create(true);
  const parts: Buffer[] = [];
  for (let start = 0; start < bytes.length; start += pieceBytes)
    parts.push(splitter.add(bytes.subarray(start, start + pieceBytes)));
  const whole = Buffer.concat(parts);
  const { lastEventId, unfinishedBytes } = splitter;
  return { completeBytes: whole.length, isInsideEvent: unfinishedBytes > 0, lastEventId, whole };
}

const line = fc.constantFrom(
  "id: 1",
  "id:2",
  "id",
  "data: a",
  "data: é",
  "data",
  ": note",
  "event: x",
  "",
  "",
);
const terminator = fc.constantFrom("\n", "\r\n", "\r");
const uniformStream = fc
  .tuple(fc.array(line, { maxLength: 9 }), terminator)
  .map(([lines, end]) => lines.map((text) => text + end).join(""));
const mixedStream = fc
  .array(fc.tuple(line, terminator), { maxLength: 9 })
  .map((lines) => lines.map(([text, end]) => text + end).join(""));
const stream = fc
  .tuple(fc.constantFrom("", "\uFEFF"), fc.oneof(uniformStream, mixedStream))
  .map(([mark, text]) => mark + text);

t.test("a stream in any form, cut at any byte, is split as a naive reader splits it", async (t) => {
  const property = fc.property(stream, fc.integer({ min: 1, max: 9 }), (text, pieceBytes) => {
    for (let cut = 0; cut <= text.length; cut++) {
      const read = text.slice(0, cut);
      const bytes = Buffer.from(read);
      const { whole, ...reading } = split(bytes, pieceBytes);
      const shown = JSON.stringify({ read, pieceBytes });
      if (!bytes.subarray(0, whole.length).equals(whole)) throw new Error(`bytes changed: ${shown}`);
      const expected = readNaively(read);
      if (JSON.stringify(reading) !== JSON.stringify(expected))
        throw new Error(`${shown}: ${JSON.stringify(reading)}, expected ${JSON.stringify(expected)}`);
    }
  });
  t.doesNotThrow(() => fc.assert(property, { seed: 67, numRuns: 2_000 }));
});

t.test(
  "an id counts with its whole event only, and an event without one can't be continued after",
  async (t) => {
    const splitter = EventSplitter.create(true);
    splitter.add(Buffer.from("id: 1\ndata: a\n\nid: 2\ndata: b\n"));
    t.equal(splitter.lastEventId, "1");
    t.notOk(splitter.endsWithoutId);
    splitter.add(Buffer.from("\n: a comment\n\n"));
    t.equal(splitter.lastEventId, "2");
    t.notOk(splitter.endsWithoutId, "a comment is no event");
    splitter.add(Buffer.from("data: c\n\n"));
    t.equal(splitter.lastEventId, "2");
    t.ok(splitter.endsWithoutId);
  },
);

t.test("an event that ends with CR alone is not held back for a byte that may never come", async (t) => {
  const splitter = EventSplitter.create(false);
  t.equal(String(splitter.add(Buffer.from("data: a\r\r"))), "data: a\r\r");
  t.equal(String(splitter.add(Buffer.from("\n"))), "\n");
  t.equal(splitter.unfinishedBytes, 0);
});

/** Splits a stream in pieces; returns what came out after each. */
function splitLong(text: string, pieceBytes: number) {
  const splitter = EventSplitter.create(true);
  const bytes = Buffer.from(text);
  const parts: Buffer[] = [];
  let mostHeld = 0;
  for (let start = 0; start < bytes.length; start += pieceBytes) {
    parts.push(splitter.add(bytes.subarray(start, start + pieceBytes)));
    const returned = parts.reduce((sum, { length }) => sum + length, 0);
    mostHeld = Math.max(mostHeld, start + pieceBytes - returned);
  }
  return { splitter, text: Buffer.concat(parts).toString(), mostHeld };
}

// Guards the memory against an event that never ends: it was held back whole.
t.test("an event that is too long to be held back is returned as it comes, and ends as any other", (t) => {
  const long = "x".repeat(600_000);
  const limit = 262_144;
  const begin = "id: 1\ndata: a\n\n";
  for (const end of ["\n", "\r\n", "\r"]) {
    for (const pieceBytes of [1_000, 65_536, 700_000]) {
      const name = `${JSON.stringify(end)}, ${pieceBytes} bytes a piece`;
      const event = `id: 2${end}data: ${long}${end}data: more${end}${end}`;
      const open = splitLong(begin + event.slice(0, -2 * end.length), pieceBytes);
      t.ok(open.mostHeld <= limit + pieceBytes, `${open.mostHeld} bytes held, ${name}`);
      t.ok(open.splitter.unfinishedBytes > 0 && open.splitter.hasReturnedPart, name);
      t.equal(open.splitter.lastEventId, "1", name);
      const whole = splitLong(`${begin}${event}id: 3${end}data: b${end}${end}`, pieceBytes);
      t.equal(whole.text.length, begin.length + event.length + `id: 3data: b${end.repeat(3)}`.length, name);
      t.equal(whole.splitter.lastEventId, "3", name);
      t.equal(whole.splitter.unfinishedBytes, 0, name);
      t.notOk(whole.splitter.hasReturnedPart, name);
      t.equal(splitLong(begin + event, pieceBytes).splitter.lastEventId, "2", name);
    }
  }
  const unending = splitLong(`${begin}data: a\nid: ${long}`, 10_000);
  t.equal(unending.splitter.lastEventId, "1");
  const unnamed = splitLong(`${begin}id: ${long}\ndata: a\n\n`, 10_000);
  t.equal(unnamed.splitter.lastEventId, "1");
  t.ok(unnamed.splitter.endsWithoutId, "an id of that length is none");
  const comment = splitLong(`${begin}: ${long}\n\nid: 2\ndata: b\n\n`, 10_000);
  t.equal(comment.splitter.lastEventId, "2");
  t.equal(comment.splitter.unfinishedBytes, 0);
  t.end();
});

t.test("an event that comes byte by byte is not copied whole for each byte", (t) => {
  const splitter = EventSplitter.create(true);
  const byte = Buffer.from("x");
  const stores = new Set<unknown>();
  for (let count = 0; count < 200_000; count++) {
    splitter.add(byte);
    stores.add((splitter as unknown as { store?: Buffer }).store);
  }
  t.ok(stores.size < 30, `copied ${stores.size} times`);
  t.end();
});

/** Adds a text in pieces to a splitter that is to continue after an id; returns what came out, and whether it went back. */
function splitAfter(after: string, text: string, pieceBytes: number): readonly [string, boolean] {
  const splitter = EventSplitter.create(true, after);
  let whole = "";
  for (let index = 0; index < text.length; index += pieceBytes)
    whole += splitter.add(Buffer.from(text.slice(index, index + pieceBytes), "latin1")).toString("latin1");
  return [whole, splitter.hasGoneBack];
}

t.test("an event that is not after the one to continue after is not returned, nor a later one", (t) => {
  const cases = [
    { after: "9", ids: ["10", "11"], kept: 2 },
    { after: "10", ids: ["9", "10", "11"], kept: 0 },
    { after: "10", ids: ["11", "10", "12"], kept: 1 },
    { after: "10", ids: ["010"], kept: 0 },
    { after: "a", ids: ["b", "a", "c"], kept: 1 },
    { after: "b", ids: ["a"], kept: 1 },
    { after: "", ids: ["", "1"], kept: 2 },
    { after: "99999999999999999999", ids: ["5"], kept: 1 },
  ];
  for (const { after, ids, kept } of cases)
    for (const end of ["\n", "\r\n", "\r"])
      for (const pieceBytes of [1, 7, 1_000]) {
        const events = ids.map((id) => `id: ${id}${end}data: x${end}${end}`);
        const text = [`: comment${end}${end}`, ...events, "data: y"].join("");
        const name = JSON.stringify({ after, ids, end, pieceBytes });
        const [whole, hasGoneBack] = splitAfter(after, text, pieceBytes);
        t.equal(hasGoneBack, kept < ids.length, name);
        // With one byte more it is known whether a line feed follows the last carriage return.
        t.equal(whole, [`: comment${end}${end}`, ...events.slice(0, kept)].join(""), name);
      }
  const [begin, wentBack] = splitAfter("3", `id: 3\ndata: ${"x".repeat(300_000)}`, 10_000);
  t.same([begin, wentBack], ["", true], "nor the begin of one that is too long to be held back");
  t.end();
});
