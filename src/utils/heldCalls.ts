/**
 * Calls that wait for something to change.
 *
 * @example
 * await held.hold(250); // until `held.release()`, 250 ms at most
 */
export class HeldCalls {
  private readonly heldCalls = new Set<{ end: () => void }>();

  private timer: NodeJS.Timeout | undefined;

  /** Calls that wait. */
  get size(): number {
    return this.heldCalls.size;
  }

  /** Resolves when something changed, or after the time. */
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

  /** Lets all go that wait. */
  release(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    [...this.heldCalls].forEach(({ end }) => end());
  }

  /** Lets all go within a time, once for all that changes until then. */
  releaseWithin(ms: number): void {
    this.timer ??= setTimeout(() => this.release(), ms);
  }
}
