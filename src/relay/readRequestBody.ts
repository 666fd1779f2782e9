import type { IncomingMessage } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';

/** Longest time that a caller may take for its body, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;

/**
 * Reads a whole body. Nothing is sent on before it is whole, so a request whose caller breaks off
 * in the middle has not run.
 *
 * @param maxBytes a longer body is refused without being kept
 * @example
 * const body = await readRequestBody(request, 4_194_304);
 */
export const readRequestBody = (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> => new Promise((resolve, reject) => {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) {
    reject(new BeechliftError('bodyTooLarge', `the body has ${declared} bytes, at most ${maxBytes} are taken`));
    return;
  }
  // One that is destroyed tells nothing any more: neither its end nor an error would come.
  if (request.destroyed) {
    reject(new BeechliftError('callerGone', 'the caller left before its body was read'));
    return;
  }
  const chunks: Buffer[] = [];
  let length = 0;
  const timer = setTimeout(() => reject(new BeechliftError('bodyTooSlow', `the body was not whole after ${BODY_TIMEOUT_MS} ms`)), BODY_TIMEOUT_MS);
  const settle = (run: () => void): void => {
    clearTimeout(timer);
    run();
  };
  request.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length <= maxBytes) chunks.push(chunk);
    else settle(() => reject(new BeechliftError('bodyTooLarge', `the body has more than ${maxBytes} bytes`)));
  });
  request.on('end', () => settle(() => resolve(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))));
  request.on('error', (cause) => settle(() => reject(new BeechliftError('callerGone', 'the caller broke off its body', { cause }))));
});
