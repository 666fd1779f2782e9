import type { IncomingMessage, ServerResponse } from 'node:http';

/** Longest wait for the rest of a body that nobody reads, in milliseconds. */
const REMAINING_BODY_TIMEOUT_MS = 1_000;

/**
 * Ends an answer that closes its connection, once the rest of the request's body has come.
 *
 * A connection that is closed while bytes of its caller are unread is reset, which takes the answer
 * away from a caller that has not read it yet. The answer must be whole by its own length.
 *
 * @example
 * response.write(body);
 * endAfterBody(request, response);
 */
export const endAfterBody = (request: IncomingMessage, response: ServerResponse): void => {
  if (request.complete || request.destroyed) {
    response.end();
    return;
  }
  const timer = setTimeout(() => response.end(), REMAINING_BODY_TIMEOUT_MS);
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  request.once('end', end);
  request.once('close', end);
  request.resume();
};
