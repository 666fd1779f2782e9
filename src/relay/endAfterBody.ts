import type { IncomingMessage, ServerResponse } from 'node:http';
import { discardBody } from '../bodies/readTurns';

/** Longest wait for the rest of a body that is discarded, in milliseconds. */
const REMAINING_BODY_TIMEOUT_MS = 1_000;

/**
 * Ends an answer after which the connection closes, but only once the rest of the request's body
 * was received.
 *
 * Closing a connection with unread input resets it, and a caller that has not read the answer yet
 * then loses it. The answer must have a content length, so that the caller knows it is complete.
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
  discardBody(request);
};
