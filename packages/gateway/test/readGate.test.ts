/*
 * Guards the process against a failure while the reading of a body is resumed: it came out of a timer or of an event of the caller's
 * connection, and ended the process with all requests that it had open.
 */
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { LinkPace, ReadGate } from "@gladewall/gateway";
import { type Clock, VirtualClock } from "@gladewall/kernel";
import t from "tap";

const megabyte = 1_048_576;

/** Returns a body without length, whose reading can be paused and never resumed. */
function createMessage(): IncomingMessage {
  const resume = (): void => {
    throw new Error("resume fails");
  };
  const message = Object.assign(new EventEmitter(), { headers: {}, pause: () => undefined, resume });
  return message as unknown as IncomingMessage;
}

/** Returns a receiver that has taken nothing of some bytes. */
function createReceiver(writableLength: number) {
  return Object.assign(new EventEmitter(), { writableLength, writableNeedDrain: writableLength > 0 });
}

function createGate(clock: Clock, receiver: EventEmitter) {
  const failures: unknown[] = [];
  const pace = LinkPace.create(clock);
  const fail = (error: unknown): void => void failures.push(error);
  const gate = ReadGate.create(createMessage(), receiver as unknown as ServerResponse, { clock, pace, fail });
  return { gate, failures };
}

t.test("a failure to resume after the receiver has taken all ends the request only", (t) => {
  const receiver = createReceiver(megabyte);
  const { gate, failures } = createGate(VirtualClock.create(), receiver);
  gate.record(Buffer.alloc(megabyte));
  t.doesNotThrow(() => receiver.emit("drain"));
  t.equal(failures.length, 1);
  t.end();
});

t.test("a failure to resume after a pause for the sake of others ends the request only", async (t) => {
  const clock = VirtualClock.create();
  const { gate, failures } = createGate(clock, createReceiver(0));
  gate.record(Buffer.alloc(64 * megabyte));
  await clock.advance(60_000);
  t.equal(failures.length, 1);
});
