/** Answers that are cut off at a byte, and when the part that remains is a whole answer. */

/** Stands for the id of a request, which has the same length. */
const ID = 'IDIDIDID';

/** How a server ends the connection behind the part of an answer that it has sent. */
export type CutEnd = 'closed' | 'reset';

/** An answer of a server. */
export interface CutAnswer {
  readonly name: string;
  /** Sent whole before the part that is cut, in the same write. */
  readonly prefix: string;
  readonly head: string;
  readonly body: string;
  /** Bytes of the body that belong to the answer; undefined if only its end tells. */
  readonly size: number | undefined;
}

const makeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const makeAnswer = (
  name: string,
  lines: readonly string[],
  body: string,
  isSized = true,
  prefix = '',
): CutAnswer => ({
  name, prefix, head: `${lines.join('\r\n')}\r\n\r\n`, body, size: isSized ? body.length : undefined,
});

/**
 * Makes answers with the given content in all forms of frames.
 *
 * @example
 * makeCutAnswers('id: 1\ndata: a\n\n').map(({ name }) => name);
 */
export const makeCutAnswers = (content: string): readonly CutAnswer[] => {
  const chunks = `${makeChunk(content.slice(0, 5))}${makeChunk(content.slice(5))}0\r\n`;
  const length = `content-length: ${content.length}`;
  const chunked = 'transfer-encoding: chunked';
  const hints = 'HTTP/1.1 103 X\r\nlink: a\r\n\r\n';
  return [
    makeAnswer('with a length', ['HTTP/1.1 200 X', `x-id: ${ID}`, length], content),
    makeAnswer('with a length, closing', ['HTTP/1.1 200 X', 'connection: close', length, `x-id: ${ID}`], content),
    makeAnswer('with a length, HTTP/1.0', ['HTTP/1.0 200 X', `x-id: ${ID}`, length], content),
    makeAnswer('in chunks', ['HTTP/1.1 200 X', `x-id: ${ID}`, chunked], `${chunks}\r\n`),
    makeAnswer('in chunks, closing, with a trailer', ['HTTP/1.1 200 X', 'connection: close', chunked, `x-id: ${ID}`], `${chunks}a: b\r\n\r\n`),
    makeAnswer('without a length', ['HTTP/1.1 200 X', `x-id: ${ID}`, 'x-a:'], content, false),
    makeAnswer('without a length, HTTP/1.0', ['HTTP/1.0 200 X', `x-id: ${ID}`], content, false),
    makeAnswer('with a length, behind hints', ['HTTP/1.1 200 X', `x-id: ${ID}`, length], content, true, hints),
    makeAnswer('without a length, behind hints', ['HTTP/1.1 200 X', `x-id: ${ID}`], content, false, hints),
    makeAnswer('in chunks, behind another answer', ['HTTP/1.1 200 X', `x-id: ${ID}`, chunked], `${chunks}\r\n`, true, 'HTTP/1.1 200 X\r\nx-id: old\r\ncontent-length: 3\r\n\r\nold'),
  ];
};

/** Lists the lengths to which an answer is cut, from no byte to the whole answer. */
export const listCuts = ({ head, body }: CutAnswer): readonly number[] => {
  const most = head.length + body.length;
  return Array.from({ length: most + 1 }, (unused, cut) => cut);
};

/**
 * Returns whether a cut answer must count as whole, may do so, or must not.
 *
 * @param isStream whether the body is a stream of events, which stops within an event only if it
 *   was cut
 */
export const classifyCut = (
  {
    head, body, size, prefix,
  }: CutAnswer,
  cut: number,
  end: CutEnd,
  isStream = false,
): 'whole' | 'either' | 'part' => {
  // An answer to another request: the connection says nothing about this one any more.
  if (prefix.includes(' 200 ') || cut < head.length) return 'part';
  const received = body.slice(0, cut - head.length);
  const isWithinEvent = isStream && received !== '' && !received.endsWith('\n\n');
  if (size === undefined) return end === 'closed' && !isWithinEvent ? 'whole' : 'part';
  if (cut < head.length + body.length) return 'part';
  // A reset may overtake the bytes in front of it.
  return end === 'closed' ? 'whole' : 'either';
};

/** Makes the bytes that a server sends for the request with an id of eight characters. */
export const writeCut = ({ prefix, head, body }: CutAnswer, cut: number, id: string): Buffer => {
  const bytes = (prefix + head + body).replaceAll(ID, id);
  return Buffer.from(bytes.slice(0, prefix.length + cut), 'latin1');
};
