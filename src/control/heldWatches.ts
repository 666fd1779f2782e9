/**
 * Calls that wait for something to change.
 *
 * @example
 * await watches.hold(250, () => hasNews());
 */
export class HeldWatches {
  private readonly waiting = new Set<{ end: () => void }>();

  /** Resolves when something changed, or after the time. */
  hold(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const watch = { end: (): void => undefined };
      const timer = setTimeout(() => watch.end(), ms);
      watch.end = () => {
        clearTimeout(timer);
        this.waiting.delete(watch);
        resolve();
      };
      this.waiting.add(watch);
    });
  }

  /** Lets all go that wait. */
  release(): void {
    [...this.waiting].forEach(({ end }) => end());
  }
}
