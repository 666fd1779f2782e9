import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';

/** Longest wait for callers that read slowly, in milliseconds. */
const FLUSH_TIMEOUT_MS = 2_000;

const isUnflushed = (response: ServerResponse | undefined): response is ServerResponse => (
  response !== undefined
  && response.writableEnded && !response.writableFinished && !response.destroyed
);

const waitForClose = (response: ServerResponse): Promise<void> => new Promise((resolve) => {
  response.once('close', resolve);
});

/**
 * Sees to what the library's own close gets wrong: it destroys connections whose answers are ended
 * but not written, and waits for those that have brought nothing.
 *
 * @example
 * closeInOrder(app);
 */
export const addGracefulClose = (app: FastifyInstance): void => {
  /** The newest answer on each connection. */
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
