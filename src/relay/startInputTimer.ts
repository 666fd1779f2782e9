/** Longest duration of a timer; Node.js would treat a longer one as 1 ms. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Calls `run` after a time, but only once the input that arrived until then was read.
 *
 * If this process was busy, timers run before sockets are read. Without the second step, what
 * arrived in time would count as missing.
 *
 * @returns a function that stops the timer
 * @example
 * const stop = startInputTimer(() => this.expire(), 300);
 */
export const startInputTimer = (run: () => void, ms: number): (() => void) => {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(run);
  }, Math.min(ms, MAX_TIMER_MS));
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
};
