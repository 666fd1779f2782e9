import { findCodeName, resultCodes } from './resultCodes';
import type { ResultCode, RunState } from './resultCodes';

/** Optional details of an error. */
export interface ErrorDetail {
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Steps that led to the error, oldest first. */
  readonly steps?: readonly string[];
  /** Overrides the run state of the code if more is known. */
  readonly run?: RunState;
  readonly cause?: unknown;
}

/** JSON body of an error response to callers and operators. */
export interface ErrorBody {
  readonly error: {
    readonly code: number;
    readonly name: ResultCode;
    readonly message: string;
    readonly run: RunState;
    readonly action: string;
    readonly retryAfterMs?: number;
    readonly steps?: readonly string[];
  };
}

/**
 * An error with a numbered result code.
 *
 * @example
 * throw new BeechliftError('unknownModel', 'model "x" is not in manifest version 7');
 */
export class BeechliftError extends Error {
  readonly code: ResultCode;

  readonly detail: ErrorDetail;

  constructor(code: ResultCode, message: string, detail: ErrorDetail = {}) {
    super(message, { cause: detail.cause });
    this.name = 'BeechliftError';
    this.code = code;
    this.detail = detail;
  }

  /** The stable number of the code. */
  get number(): number {
    return resultCodes[this.code].number;
  }

  /** HTTP status of the response. */
  get status(): number {
    return resultCodes[this.code].status;
  }

  /** Whether the request did any work. */
  get run(): RunState {
    return this.detail.run ?? resultCodes[this.code].run;
  }

  /**
   * Builds the JSON body of the response.
   *
   * @example
   * reply.code(error.status).send(error.buildBody());
   */
  buildBody(): ErrorBody {
    const { retryAfterMs, steps } = this.detail;
    return {
      error: {
        code: this.number,
        name: this.code,
        message: this.message,
        run: this.run,
        action: resultCodes[this.code].action,
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
        ...(steps === undefined ? {} : { steps }),
      },
    };
  }
}

/**
 * Makes an error from a received result number; an unknown number becomes `internalFailure`.
 *
 * @example
 * throw makeErrorFromNumber(reply.code, reply.message);
 */
export const makeErrorFromNumber = (
  number: number,
  message: string,
  detail: ErrorDetail = {},
): BeechliftError => new BeechliftError(findCodeName(number) ?? 'internalFailure', message, detail);

/**
 * Converts a thrown value to an error with a code; other errors become `internalFailure`.
 *
 * @example
 * try { run(); } catch (thrown) { reply.send(toBeechliftError(thrown).buildBody()); }
 */
export const toBeechliftError = (thrown: unknown): BeechliftError => {
  if (thrown instanceof BeechliftError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new BeechliftError('internalFailure', message, { cause: thrown });
};
