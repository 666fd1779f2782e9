import { setTimeout as pause } from 'node:timers/promises';
import type { Clock } from '../utils/clock';

/**
 * Time between the end of an answer and the check of its server, in milliseconds. The operating
 * system closes the connections of a process that ends one after another.
 */
const SETTLE_MS = 10;

/** Lowest status of a failure. */
const FIRST_FAILURE = 400;

/** An answer whose end only the end of its connection marks. */
export interface CloseDelimitedEnd {
  readonly status: number;
  /** Whether the connection ended before all of the request was written. */
  readonly wasEndedEarly: boolean;
  /** Whether it stopped within an event. */
  readonly isWithinEvent: boolean;
  /** Returns whether the server that sent it still runs. */
  readonly isRunning: () => Promise<boolean>;
  /** When the server stops its work, monotonic milliseconds. */
  readonly limitAt: number;
  readonly clock: Clock;
}

/**
 * Returns why a close-delimited answer counts as broken off, or undefined if it is complete.
 *
 * A connection that is closed in an orderly way does not tell that the answer is complete: the
 * operating system does the same for a server that has crashed. The server must still run. A
 * success must not come before the request was written; a server need not read a request that it
 * refuses.
 *
 * @example
 * const cutReason = await findCutReason({
 *   status, wasEndedEarly, isWithinEvent, isRunning, limitAt, clock,
 * });
 */
export const findCutReason = async ({
  status, wasEndedEarly, isWithinEvent, isRunning, limitAt, clock,
}: CloseDelimitedEnd): Promise<string | undefined> => {
  const isUnproved = wasEndedEarly && status < FIRST_FAILURE;
  if (isUnproved) return 'the connection was closed before the request was written';
  if (isWithinEvent) return 'the connection was closed within an event';
  if (clock.now() >= limitAt) return 'the connection was closed at the time limit of the server';
  await pause(SETTLE_MS);
  return await isRunning() ? undefined : 'the connection was closed, and the server accepts no other';
};
