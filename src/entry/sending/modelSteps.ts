import { BeechliftError } from '../../errors/beechliftError';
import type { AnswerSink } from '../callers/answerSink';
import type { CallerRequest } from '../callers/callerRequest';
import { EngineFailure } from './engineFailure';
import type { EngineRefusal } from './engineRefusal';
import type { ClaimedDispatch } from './requestClaim';
import { makeSupersededError } from './supersededError';

/**
 * Judges a dispatch that failed: one that may have arrived is taken up again as a stream, which
 * `undefined` stands for; one that did not is thrown on.
 *
 * @example
 * const events = await engines.dispatch(…).catch((error) => judgeDispatch(error, dispatch));
 */
export const handleDispatchError = (error: unknown, { canResume }: ClaimedDispatch): undefined => {
  const mayRun = error instanceof EngineFailure && error.reach === 'maybeSent';
  if (mayRun && canResume) return undefined;
  throw error;
};

/** Body for the engine, which is always asked for a stream: only a stream can be resumed. */
export const buildStreamBody = ({ stream, body }: CallerRequest): string => (
  stream ? body : JSON.stringify({ ...JSON.parse(body) as object, stream: true })
);

const MAX_SHOWN_BODY = 500;

const BLOCKED_STREAM_STATUS = 409;

/**
 * What a caller is told when an engine answers with an error status. A stream that is barred there
 * was taken over by a resend of the same key.
 */
export const toBackendError = ({ status, body }: EngineRefusal): BeechliftError => (
  status === BLOCKED_STREAM_STATUS
    ? makeSupersededError()
    : new BeechliftError('backendFailed', `the engine answered with status ${status}: ${body.slice(0, MAX_SHOWN_BODY)}`, { run: 'unknown' })
);

/** Gives a caller an answer that was kept. */
export const replayAnswer = async (sink: AnswerSink, events: readonly string[]): Promise<void> => {
  await events.reduce((before, data) => before.then(() => sink.deliver(data)), Promise.resolve());
  await sink.end();
};
