import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Resolves once an answer was handed to the operating system, or its connection has closed.
 *
 * @example
 * await waitWritten(request.socket, response);
 */
export const waitWritten = (socket: Socket, response: ServerResponse): Promise<void> => (
  response.writableFinished || response.destroyed || socket.destroyed
    ? Promise.resolve()
    : new Promise((resolve) => {
      const settle = (): void => {
        response.off('close', settle);
        socket.off('close', settle);
        resolve();
      };
      response.once('close', settle);
      // A response whose turn has not come yet is not closed with its connection.
      socket.once('close', settle);
    })
);
