import { BeechliftError } from './beechliftError';

// A byte order mark is left in: JSON does not allow it.
const decoder = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

/**
 * Decodes the text of a received body. Throws `malformedJson` if it is not valid UTF-8: the text
 * would differ from what was sent.
 *
 * @example
 * const text = decodeText(readBody(request));
 */
export const decodeText = (body: Buffer): string => {
  try {
    return decoder.decode(body);
  } catch (cause) {
    throw new BeechliftError('malformedJson', 'the body is not valid UTF-8', { cause });
  }
};
