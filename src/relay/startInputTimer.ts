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
  }, ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
};
