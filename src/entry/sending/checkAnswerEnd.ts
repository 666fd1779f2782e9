import { CALLER_HEADERS } from '../callers/callerRequest';
import { findCutReason } from '../../wire/closeDelimitedEnd';
import { EventBoundary } from '../../wire/eventBoundary';
import { EVENT_STREAM } from '../../wire/eventLines';
import { isServerRunning } from '../../wire/isServerRunning';
import { systemClock } from '../../utils/clock';
import { EngineFailure } from './engineFailure';
import { openServerSocket } from './serverConnection';
import type { ServiceAnswer, ServiceCall } from './serviceClient';

const OK = 200;

/** An answer as received, before any header is dropped. */
interface ReceivedAnswer extends Pick<ServiceAnswer, 'status' | 'body'> {
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

const isWithinEvent = ({ status, headers, body }: ReceivedAnswer): boolean => {
  if (status !== OK || !EVENT_STREAM.test(String(headers['content-type'] ?? ''))) return false;
  const boundary = new EventBoundary();
  boundary.push(body);
  return boundary.isWithinEvent;
};

/** Returns the time limit that the caller named and that the service got; infinite if none. */
const readNamedLimitMs = ({ headers }: ServiceCall): number => (
  Number(headers[CALLER_HEADERS.deadline]) || Number.POSITIVE_INFINITY
);

/**
 * Checks a close-delimited answer that has ended. Throws if it counts as broken off: it must be
 * neither passed on nor stored as complete.
 *
 * @param sentAt when the call was sent, monotonic milliseconds
 * @param wasEndedEarly whether the connection ended before all of the call was written
 * @example
 * await checkAnswerEnd(call, sentAt, client.wasEndedEarly, { status, headers, body });
 */
export const checkAnswerEnd = async (
  call: ServiceCall,
  sentAt: number,
  wasEndedEarly: boolean,
  answer: ReceivedAnswer,
): Promise<void> => {
  const reason = await findCutReason({
    status: answer.status,
    wasEndedEarly,
    isWithinEvent: isWithinEvent(answer),
    isRunning: () => isServerRunning(openServerSocket, call.address),
    limitAt: sentAt + readNamedLimitMs(call),
    clock: systemClock,
  });
  if (reason !== undefined) throw new EngineFailure('maybeSent', reason);
};
