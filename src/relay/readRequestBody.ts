import type { IncomingMessage } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';

/** Longest time that a caller may take for its body, in milliseconds. */
const BODY_MS = 30_000;

/**
 * Reads a whole body. Nothing is sent on before it is whole, so a request whose caller breaks off
 * in the middle has not run.
 *
 * @param mostBytes a longer body is refused without being kept
 * @example
 * const body = await readRequestBody(request, 4_194_304);
 */
export const readRequestBody = (
  request: IncomingMessage,
  mostBytes: number,
): Promise<Buffer> => new Promise((resolve, reject) => {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > mostBytes) {
    reject(new BeechliftError('bodyTooLarge', `the body has ${declared} bytes, at most ${mostBytes} are taken`));
    return;
  }
  // One that is destroyed tells nothing any more: neither its end nor an error would come.
  if (request.destroyed) {
    reject(new BeechliftError('callerGone', 'the caller left before its body was read'));
    return;
  }
  const pieces: Buffer[] = [];
  let length = 0;
  const timer = setTimeout(() => reject(new BeechliftError('bodyTooSlow', `the body was not whole after ${BODY_MS} ms`)), BODY_MS);
  const settle = (run: () => void): void => {
    clearTimeout(timer);
    run();
  };
  request.on('data', (piece: Buffer) => {
    length += piece.length;
    if (length <= mostBytes) pieces.push(piece);
    else settle(() => reject(new BeechliftError('bodyTooLarge', `the body has more than ${mostBytes} bytes`)));
  });
  request.on('end', () => settle(() => resolve(pieces.length === 1 ? pieces[0] as Buffer : Buffer.concat(pieces))));
  request.on('error', (cause) => settle(() => reject(new BeechliftError('callerGone', 'the caller broke off its body', { cause }))));
});
