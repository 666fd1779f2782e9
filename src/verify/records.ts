import { BeechliftError } from '../errors/beechliftError';
import { buildValidator } from '../utils/schemaValidator';

/** Recorded by a caller when it sent a request. */
export interface SentRecord {
  readonly kind: 'sent';
  readonly request: string;
  /** The same for all resends of a request: client account and key, or the request itself. */
  readonly identity: string;
  /** Text that identifies the request in the records of engines. */
  readonly prompt: string;
}

/** Recorded by a caller when its answer was complete, or when it got none. */
export interface AnswerRecord {
  readonly kind: 'answer';
  readonly request: string;
  /** HTTP status; 0 when the connection broke. */
  readonly status: number;
  readonly run: 'notRun' | 'ran' | 'unknown' | '';
  readonly text: string;
  /** Text of the correct answer to the request. */
  readonly expected: string;
}

/** Recorded by an engine when a stream was dispatched to it. */
export interface DispatchRecord {
  readonly kind: 'dispatch';
  readonly engine: string;
  readonly stream: string;
  readonly prompt: string;
}

/** A line of a file of records. */
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
    throw new BeechliftError('recordsInvalid', `line ${position + 1} is not JSON: ${(cause as Error).message}`);
  }
  if (validate(record).length > 0) {
    throw new BeechliftError('recordsInvalid', `line ${position + 1} is not a valid record of kind sent, answer or dispatch`);
  }
  return record as VerifyRecord;
};

/**
 * Parses records, one JSON document per line.
 *
 * @example
 * const records = parseRecords(readTextFile('records.ndjson'));
 */
export const parseRecords = (content: string): VerifyRecord[] => content
  .split('\n')
  .filter((line) => line.trim() !== '')
  .map(parseLine);
