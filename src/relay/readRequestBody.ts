import type { IncomingMessage } from 'node:http';
import { readTurns } from '../bodies/readTurns';
import { BeechliftError } from '../errors/beechliftError';
import { ByteCollector } from '../utils/byteCollector';

/** Longest time that a caller may take to send its body, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;

/**
 * Reads a whole body. A request is forwarded only once its body is complete, so a request whose
 * caller disconnects before that has not run.
 *
 * @param maxBytes a longer body is refused and discarded
 * @example
 * const body = await readRequestBody(request, 4_194_304);
 */
export const readRequestBody = (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> => new Promise((resolve, reject) => {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) {
    reject(new BeechliftError('bodyTooLarge', `the body has ${declared} bytes, at most ${maxBytes} are allowed`));
    return;
  }
  // A destroyed request emits neither 'end' nor 'error'.
  if (request.destroyed) {
    reject(new BeechliftError('callerGone', 'the caller disconnected before its body was read'));
    return;
  }
  const collector = new ByteCollector();
  const timer = setTimeout(() => reject(new BeechliftError('bodyTooSlow', `the body was not complete after ${BODY_TIMEOUT_MS} ms`)), BODY_TIMEOUT_MS);
  const settle = (run: () => void): void => {
    clearTimeout(timer);
    run();
  };
  request.on('data', (chunk: Buffer) => {
    readTurns.recordPiece(request.socket, chunk.length);
    if (collector.length + chunk.length <= maxBytes) collector.add(chunk);
    else settle(() => reject(new BeechliftError('bodyTooLarge', `the body exceeds the limit of ${maxBytes} bytes`)));
  });
  request.on('end', () => settle(() => resolve(collector.take())));
  request.on('error', (cause) => settle(() => reject(new BeechliftError('callerGone', 'the caller disconnected while it sent its body', { cause }))));
});
