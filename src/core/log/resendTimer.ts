/** When data that a peer has not acknowledged may be sent to it again. */
export interface ResendTimer {
  /** Earliest time of the next repetition, monotonic milliseconds; Infinity if nothing is open. */
  dueAt: number;
  /** When the wait for the acknowledgement began, monotonic milliseconds. */
  sentAt: number;
  /** Wait before the next repetition, in milliseconds. */
  delayMs: number;
  /** Whether the open data was sent more than once. */
  isRepeated: boolean;
}

/** Bounds on the wait before a repetition, in milliseconds. */
const MIN_DELAY_MS = 75;
const MAX_DELAY_MS = 1_200;

/** A repetition waits for this multiple of the time that the last acknowledgement took. */
const DELAY_FACTOR = 2;

const computeDelay = (ms: number): number => (
  Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, ms)));

/** Creates the timer of a peer that was sent nothing yet. */
export const makeResendTimer = (): ResendTimer => ({
  dueAt: Infinity, sentAt: 0, delayMs: MIN_DELAY_MS, isRepeated: false,
});

/** Whether open data may be sent again. */
export const isResendDue = ({ dueAt }: ResendTimer, now: number): boolean => now >= dueAt;

/** Forgets open data that the peer did not take, as other data is sent in its place. */
export const resetResend = (timer: ResendTimer): void => {
  timer.dueAt = Infinity;
  timer.isRepeated = false;
};

/** Records that data was sent; the wait for earlier open data goes on. */
export const markSent = (timer: ResendTimer, now: number): void => {
  if (timer.dueAt !== Infinity) return;
  timer.sentAt = now;
  timer.dueAt = now + timer.delayMs;
};

/**
 * Records that open data was sent again, and doubles the wait before the next repetition.
 *
 * Copies of the same data share one connection: sent too often, they delay each other until none
 * arrives in time.
 */
export const markResent = (timer: ResendTimer, now: number): void => {
  timer.delayMs = computeDelay(2 * timer.delayMs);
  timer.isRepeated = true;
  timer.sentAt = now;
  timer.dueAt = now + timer.delayMs;
};

/**
 * Records an acknowledgement; the wait adapts to the time that it took, unless the data was sent
 * more than once: the acknowledgement may be that of an earlier copy.
 *
 * @param isMoreOpen whether data that was sent later is still open
 * @example
 * markAcknowledged(progress.resend, clock.now(), progress.sentIndex > matchIndex);
 */
export const markAcknowledged = (timer: ResendTimer, now: number, isMoreOpen: boolean): void => {
  if (!timer.isRepeated) timer.delayMs = computeDelay(DELAY_FACTOR * (now - timer.sentAt));
  timer.isRepeated = false;
  timer.sentAt = now;
  timer.dueAt = isMoreOpen ? now + timer.delayMs : Infinity;
};
