/**
 * Calls that wait for something to change.
 *
 * @example
 * await watches.hold(250, () => hasNews());
 */
export class HeldWatches {
  private readonly waiting = new Set<() => void>();

  /** Resolves when something changed, or after the time. */
  hold(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      this.waiting.add(end);
    });
  }

  /** Lets all go that wait. */
  release(): void {
    [...this.waiting].forEach((end) => end());
  }
}
