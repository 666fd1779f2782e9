import { findCodeName, resultCodes } from './resultCodes';
import type { ResultCode, RunState } from './resultCodes';

/** What may go along with an error. */
export interface ErrorDetail {
  /** When to come back, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** Steps that led here, oldest first. */
  readonly steps?: readonly string[];
  /** Overrides the run state of the code where more is known. */
  readonly run?: RunState;
  readonly cause?: unknown;
}

/** The form in which an error is shown to callers and operators. */
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

  /** HTTP status that carries the code. */
  get status(): number {
    return resultCodes[this.code].status;
  }

  /** Whether the request did any work. */
  get run(): RunState {
    return this.detail.run ?? resultCodes[this.code].run;
  }

  /**
   * Builds the JSON body that callers and operators read.
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
 * Turns a result number from the wire into an error.
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
 * Makes sure that whatever was thrown is an error with a code.
 *
 * @example
 * try { run(); } catch (thrown) { reply.send(toBeechliftError(thrown).buildBody()); }
 */
export const toBeechliftError = (thrown: unknown): BeechliftError => {
  if (thrown instanceof BeechliftError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new BeechliftError('internalFailure', message, { cause: thrown });
};
