import { BeechliftError } from '../../errors/beechliftError';
import type { AnswerSink } from '../callers/answerSink';
import type { CallerRequest } from '../callers/callerRequest';
import { EngineFailure } from './engineFailure';
import type { EngineRefusal } from './engineRefusal';
import type { ClaimedDispatch } from './requestClaim';
import { makeSupersededError } from './supersededError';

/**
 * Handles a failed dispatch: returns `undefined` when it may have arrived and its stream can be
 * resumed, and throws the error again otherwise.
 *
 * @example
 * const events = await engines.dispatch(…).catch((error) => handleDispatchError(error, dispatch));
 */
export const handleDispatchError = (error: unknown, { canResume }: ClaimedDispatch): undefined => {
  const mayRun = error instanceof EngineFailure && error.reach === 'maybeSent';
  if (mayRun && canResume) return undefined;
  throw error;
};

/** Builds the body for the engine. It always requests a stream, as only a stream can be resumed. */
export const buildStreamBody = ({ stream, body }: CallerRequest): string => (
  stream ? body : JSON.stringify({ ...JSON.parse(body) as object, stream: true })
);

const MAX_SHOWN_BODY = 500;

const BLOCKED_STREAM_STATUS = 409;

/**
 * Converts an error status of an engine to the error for the caller. A stream that is blocked there
 * was taken over by a resend with the same key.
 */
export const toBackendError = ({ status, body }: EngineRefusal): BeechliftError => (
  status === BLOCKED_STREAM_STATUS
    ? makeSupersededError()
    : new BeechliftError('backendFailed', `the engine answered with status ${status}: ${body.slice(0, MAX_SHOWN_BODY)}`, { run: 'unknown' })
);

/** Sends a stored answer to a caller. */
export const replayAnswer = async (sink: AnswerSink, events: readonly string[]): Promise<void> => {
  await events.reduce((before, data) => before.then(() => sink.deliver(data)), Promise.resolve());
  await sink.end();
};
