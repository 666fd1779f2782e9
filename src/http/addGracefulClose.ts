import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';

/** Longest wait for slow callers to read their responses, in milliseconds. */
const FLUSH_TIMEOUT_MS = 2_000;
/** Longest wait for the rest of a request that was received in part, in milliseconds. */
const RECEIVE_TIMEOUT_MS = 250;

const isUnflushed = (response: ServerResponse | undefined): response is ServerResponse => (
  response !== undefined
  && response.writableEnded && !response.writableFinished && !response.destroyed
);

const waitForClose = (response: ServerResponse): Promise<void> => new Promise((resolve) => {
  response.once('close', resolve);
});

/**
 * Corrects how the library closes a server: it destroys connections whose responses have ended but
 * are not fully written yet, and waits for connections that have sent nothing or part of a request.
 *
 * @example
 * addGracefulClose(app);
 */
export const addGracefulClose = (app: FastifyInstance): void => {
  /** Latest response on each connection. */
  const latestResponses = new Map<Socket, ServerResponse | undefined>();
  const openResponses = new Set<ServerResponse>();
  app.server.on('connection', (socket: Socket) => {
    latestResponses.set(socket, undefined);
    socket.once('close', () => latestResponses.delete(socket));
  });
  app.server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    if (latestResponses.has(socket)) latestResponses.set(socket, response);
    openResponses.add(response);
    response.once('close', () => openResponses.delete(response));
  });
  /** Closes connections without a complete request that is being answered. */
  const closeUnanswered = (): void => {
    const answering = new Set([...openResponses]
      .filter(({ req }) => req.complete)
      .map(({ req }) => req.socket));
    [...latestResponses.keys()]
      .filter((socket) => !answering.has(socket))
      .forEach((socket) => socket.destroy());
  };
  app.addHook('preClose', async () => {
    // Repeated, as a part of a request may be received at any time before the server has closed.
    const timer = setInterval(closeUnanswered, RECEIVE_TIMEOUT_MS).unref();
    app.server.once('close', () => clearInterval(timer));
    const unflushed = [...latestResponses.values()].filter((response) => isUnflushed(response));
    const flushed = Promise.all(unflushed.map(waitForClose));
    await Promise.race([flushed, pause(FLUSH_TIMEOUT_MS, undefined, { ref: false })]);
    [...latestResponses.keys()]
      .filter(({ bytesRead }) => bytesRead === 0)
      .forEach((socket) => socket.destroy());
  });
};
