import { BeechliftError } from '../errors/beechliftError';
import { buildValidator } from '../utils/schemaValidator';

/** What a caller noted when it sent a request. */
export interface SentRecord {
  readonly kind: 'sent';
  readonly request: string;
  /** Names the request over all its resends: client account and key, or the request itself. */
  readonly identity: string;
  /** Text by which engines know the request. */
  readonly prompt: string;
}

/** What a caller noted when its answer was whole, or when it got none. */
export interface AnswerRecord {
  readonly kind: 'answer';
  readonly request: string;
  /** HTTP status; 0 when the connection broke. */
  readonly status: number;
  readonly run: 'notRun' | 'ran' | 'unknown' | '';
  readonly text: string;
  /** The text that belongs to the request. */
  readonly expected: string;
}

/** What an engine noted when a stream was dispatched to it. */
export interface DispatchRecord {
  readonly kind: 'dispatch';
  readonly engine: string;
  readonly stream: string;
  readonly prompt: string;
}

/** One line of a records file. */
export type VerifyRecord = SentRecord | AnswerRecord | DispatchRecord;

const text = { type: 'string', maxLength: 1_000_000 };

const schema = {
  oneOf: [
    {
      type: 'object',
      required: ['kind', 'request', 'identity', 'prompt'],
      properties: {
        kind: { const: 'sent' }, request: text, identity: text, prompt: text,
      },
    },
    {
      type: 'object',
      required: ['kind', 'request', 'status', 'run', 'text', 'expected'],
      properties: {
        kind: { const: 'answer' },
        request: text,
        status: { type: 'integer' },
        run: { enum: ['notRun', 'ran', 'unknown', ''] },
        text,
        expected: text,
      },
    },
    {
      type: 'object',
      required: ['kind', 'engine', 'stream', 'prompt'],
      properties: {
        kind: { const: 'dispatch' }, engine: text, stream: text, prompt: text,
      },
    },
  ],
};

const validate = buildValidator(schema);

const parseLine = (line: string, position: number): VerifyRecord => {
  let record: unknown;
  try {
    record = JSON.parse(line);
  } catch (cause) {
    throw new BeechliftError('recordsInvalid', `line ${position + 1} is no JSON: ${(cause as Error).message}`);
  }
  if (validate(record).length > 0) {
    throw new BeechliftError('recordsInvalid', `line ${position + 1} is no record of kind sent, answer or dispatch`);
  }
  return record as VerifyRecord;
};

/**
 * Reads records, one JSON document a line.
 *
 * @example
 * const records = parseRecords(readTextFile('records.ndjson'));
 */
export const parseRecords = (content: string): VerifyRecord[] => content
  .split('\n')
  .filter((line) => line.trim() !== '')
  .map(parseLine);
