/**
 * Calls that wait for a change, such as those of long polling.
 *
 * @example
 * await held.hold(250); // until `held.release()`, 250 ms at most
 */
export class HeldCalls {
  private readonly heldCalls = new Set<{ end: () => void }>();

  private timer: NodeJS.Timeout | undefined;

  /** Number of waiting calls. */
  get size(): number {
    return this.heldCalls.size;
  }

  /** Resolves at the next release, or after the given time in milliseconds. */
  hold(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const call = { end: (): void => undefined };
      const timer = setTimeout(() => call.end(), ms);
      call.end = () => {
        clearTimeout(timer);
        this.heldCalls.delete(call);
        resolve();
      };
      this.heldCalls.add(call);
    });
  }

  /** Resolves all waiting calls. */
  release(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    [...this.heldCalls].forEach(({ end }) => end());
  }

  /** Resolves all waiting calls within a time; all changes until then share one release. */
  releaseWithin(ms: number): void {
    this.timer ??= setTimeout(() => this.release(), ms);
  }
}
