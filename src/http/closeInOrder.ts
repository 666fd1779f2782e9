import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';

/** Longest wait for callers that read slowly, in milliseconds. */
const WRITE_MS = 2_000;

const isUnwritten = (response: ServerResponse | undefined): response is ServerResponse => (
  response !== undefined
  && response.writableEnded && !response.writableFinished && !response.destroyed
);

const waitClosed = (response: ServerResponse): Promise<void> => new Promise((resolve) => {
  response.once('close', resolve);
});

/**
 * Sees to what the library's own close gets wrong: it destroys connections whose answers are ended
 * but not written, and waits for those that have brought nothing.
 *
 * @example
 * closeInOrder(app);
 */
export const closeInOrder = (app: FastifyInstance): void => {
  /** The newest answer on each connection. */
  const newest = new Map<Socket, ServerResponse | undefined>();
  app.server.on('connection', (socket: Socket) => {
    newest.set(socket, undefined);
    socket.once('close', () => newest.delete(socket));
  });
  app.server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    if (newest.has(socket)) newest.set(socket, response);
  });
  app.addHook('preClose', async () => {
    const unwritten = [...newest.values()].filter((response) => isUnwritten(response));
    const written = Promise.all(unwritten.map(waitClosed));
    await Promise.race([written, pause(WRITE_MS, undefined, { ref: false })]);
    [...newest.keys()]
      .filter(({ bytesRead }) => bytesRead === 0)
      .forEach((socket) => socket.destroy());
  });
};
