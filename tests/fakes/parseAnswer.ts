/** An answer that was received over a connection. */
export interface ParsedAnswer {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A complete answer and its length in bytes. */
export interface CompleteAnswer {
  readonly answer: ParsedAnswer;
  readonly length: number;
}

const HEAD_END = '\r\n\r\n';

const parseHeaders = (lines: readonly string[]): Record<string, string> => Object.fromEntries(
  lines.map((line): [string, string] => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }),
);

interface BodyPart {
  readonly body: string;
  readonly end: number;
}

const readSized = (bytes: Buffer, from: number, size: number): BodyPart | undefined => {
  if (bytes.length < from + size) return undefined;
  return { body: bytes.toString('latin1', from, from + size), end: from + size };
};

const readChunks = (
  bytes: Buffer,
  from: number,
  chunks: readonly string[] = [],
): BodyPart | undefined => {
  const lineEnd = bytes.indexOf('\r\n', from);
  if (lineEnd < 0) return undefined;
  const size = parseInt(bytes.toString('latin1', from, lineEnd), 16);
  const chunk = readSized(bytes, lineEnd + 2, size + 2);
  if (!chunk) return undefined;
  if (size === 0) return { body: chunks.join(''), end: chunk.end };
  return readChunks(bytes, chunk.end, [...chunks, chunk.body.slice(0, size)]);
};

/**
 * Parses the first answer in the bytes received over a connection; undefined if it is incomplete.
 *
 * @example
 * const complete = parseAnswer(bytes);
 */
export const parseAnswer = (bytes: Buffer): CompleteAnswer | undefined => {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [statusLine = '', ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
  const headers = parseHeaders(lines);
  const from = headEnd + HEAD_END.length;
  const read = headers['transfer-encoding'] === 'chunked'
    ? readChunks(bytes, from)
    : readSized(bytes, from, Number(headers['content-length'] ?? 0));
  if (!read) return undefined;
  return {
    answer: { status: Number(statusLine.split(' ')[1]), headers, body: read.body },
    length: read.end,
  };
};
