import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';

/** Longest wait for slow callers to read their responses, in milliseconds. */
const FLUSH_TIMEOUT_MS = 2_000;

const isUnflushed = (response: ServerResponse | undefined): response is ServerResponse => (
  response !== undefined
  && response.writableEnded && !response.writableFinished && !response.destroyed
);

const waitForClose = (response: ServerResponse): Promise<void> => new Promise((resolve) => {
  response.once('close', resolve);
});

/**
 * Corrects how the library closes a server: it destroys connections whose responses have ended but
 * are not fully written yet, and waits for connections that have not sent anything.
 *
 * @example
 * addGracefulClose(app);
 */
export const addGracefulClose = (app: FastifyInstance): void => {
  /** Latest response on each connection. */
  const latestResponses = new Map<Socket, ServerResponse | undefined>();
  app.server.on('connection', (socket: Socket) => {
    latestResponses.set(socket, undefined);
    socket.once('close', () => latestResponses.delete(socket));
  });
  app.server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    if (latestResponses.has(socket)) latestResponses.set(socket, response);
  });
  app.addHook('preClose', async () => {
    const unflushed = [...latestResponses.values()].filter((response) => isUnflushed(response));
    const flushed = Promise.all(unflushed.map(waitForClose));
    await Promise.race([flushed, pause(FLUSH_TIMEOUT_MS, undefined, { ref: false })]);
    [...latestResponses.keys()]
      .filter(({ bytesRead }) => bytesRead === 0)
      .forEach((socket) => socket.destroy());
  });
};
