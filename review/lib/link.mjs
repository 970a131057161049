// Stand-in of the network between one instance and the platform. A cut of the link is silent: bytes that are under way are held up and
// arrive when TCP sends them again after the link has healed, unless their sender has reset the connection. TCP of Linux sends again 0.2 s
// after the first time, and waits twice as long each further time. A connection that is opened during a cut does not come up.
import { Buffer } from "node:buffer";
import { connect, createServer } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";

const firstRetransmissionMs = 200;

/** Returns the time of the first retransmission at or after `time`, of bytes that were first sent at `sentAt`. */
function getRetransmissionTime(sentAt, time) {
  let delayMs = firstRetransmissionMs;
  let next = sentAt + delayMs;
  while (next < time) {
    delayMs *= 2;
    next += delayMs;
  }
  return next;
}

/** One connection through the link. */
class LinkConnection {
  held = [];
  isHolding = false;
  isReset = false;

  constructor(link, near) {
    this.link = link;
    this.near = near;
    this.isDead = link.isCut;
    near.on("error", () => {
      this.isReset = true;
    });
    if (this.isDead) {
      near.resume();
      return;
    }
    const [host, port] = link.target.split(":");
    this.far = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    this.far.on("error", () => near.destroy());
    near.on("data", (part) => this.pass(part));
    // A reset connection has no peer any more when its end is read.
    near.on("end", () => (near.remoteAddress === undefined ? this.handleReset() : this.pass(undefined)));
    near.on("close", () => {
      if (this.isReset) this.handleReset();
    });
    this.far.on("data", (part) => {
      if (!link.isCut && !near.destroyed) near.write(part);
    });
    this.far.on("end", () => {
      if (!link.isCut && !near.destroyed) near.end();
    });
  }

  handleReset() {
    this.held = [];
    this.isDead = true;
    if (!this.link.isCut) this.far?.destroy();
  }

  /** Passes bytes on to the platform, or the end of the connection if there are none. */
  pass(part) {
    if (this.isDead) return;
    if (!this.link.isCut && !this.isHolding) return this.deliver(part);
    if (!this.isHolding) this.link.onHeld(part);
    this.heldAt ??= performance.now();
    this.isHolding = true;
    this.held.push(part);
  }

  deliver(part) {
    if (part === undefined) this.far.end();
    else this.far.write(part);
  }

  /** Called when the link has healed. */
  heal() {
    if (!this.isHolding || this.isDead) return;
    const time = performance.now();
    setTimeout(
      () => {
        if (this.isDead) return;
        this.isHolding = false;
        this.link.onDelivered(Buffer.concat(this.held.filter((part) => part !== undefined)));
        for (const part of this.held.splice(0)) this.deliver(part);
      },
      getRetransmissionTime(this.heldAt, time) - time,
    );
  }
}

/** The link of one instance to one address of the platform. */
class Link {
  isCut = false;
  connections = [];
  /** Called with the first bytes that a connection holds up, and with those that are delivered after the link has healed. */
  onHeld = () => undefined;
  onDelivered = () => undefined;

  constructor(target) {
    this.target = target;
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
      this.connections.push(new LinkConnection(this, near));
    });
  }

  get address() {
    return `127.0.0.1:${this.server.address().port}`;
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    for (const connection of this.connections) {
      if (connection.far === undefined) connection.near.destroy();
      else connection.heal();
    }
  }

  close() {
    this.server.close();
    for (const { near, far } of this.connections) {
      near.destroy();
      far?.destroy();
    }
  }
}

/** Opens a link to an address of the platform. */
export async function openLink(target) {
  const link = new Link(target);
  await new Promise((resolve) => link.server.listen(0, "127.0.0.1", resolve));
  return link;
}
