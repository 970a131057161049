/**
 * Tells which responses of an HTTP server have been ended but not sent yet, because their receivers read slowly.
 * @module
 */
import type { Server, ServerResponse } from "node:http";
import { Server as TcpServer, type Socket } from "node:net";

/** The responses of a server whose connections have not taken all of them. */
export class UnsentResponses {
  private readonly open = new Map<Socket, Set<ServerResponse>>();
  private handleSent: () => void = () => undefined;

  private constructor() {}

  static create(): UnsentResponses {
    return new UnsentResponses();
  }

  /** Adds a response, from its begin on. */
  add(response: ServerResponse): void {
    const { socket } = response.req;
    const open = this.open.get(socket) ?? this.addConnection(socket);
    open.add(response);
    response.once("close", () => {
      open.delete(response);
      this.handleSent();
    });
  }

  /** Number of responses that have been ended and are not sent yet. */
  get count(): number {
    let count = 0;
    for (const responses of this.open.values()) {
      for (const response of responses) if (response.writableEnded) count += 1;
    }
    return count;
  }

  /**
   * Has a server accept no connections from now on, and closes its idle ones once no response is left to be sent: Node.js counts a
   * connection as idle when its response has been ended, and would discard what has not been sent.
   */
  stopAccepting(server: Server): void {
    // `close` of an HTTP server would close the idle connections at once.
    TcpServer.prototype.close.call(server);
    this.handleSent = () => {
      if (this.count === 0) server.closeIdleConnections();
    };
    this.handleSent();
  }

  /** A response that waits for others of its connection is not closed with the connection, so that both are listened to. */
  private addConnection(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    this.open.set(socket, responses);
    socket.once("close", () => {
      this.open.delete(socket);
      this.handleSent();
    });
    return responses;
  }
}
