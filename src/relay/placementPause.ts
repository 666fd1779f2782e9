/** How long an entry places requests itself after a late leader for the first time, in ms. */
const MIN_PAUSE_MS = 400;
/** The same at most; the leader is asked again that often. */
const MAX_PAUSE_MS = 3_200;
/** Random part of a pause, as a fraction of it: entries that paused together return in turn. */
const JITTER = 0.5;

/**
 * The time in which an entry places requests itself, because the leader did not answer in time.
 *
 * A leader without processor time to spare gets slower with every request that is repeated or
 * cancelled. So the pauses grow while it stays late, and fewer entries ask it at the same time.
 *
 * @example
 * pause.begin(now);
 * if (pause.isActive(now)) return undefined; // the entry chooses the server itself
 */
export class PlacementPause {
  private until = -Infinity;

  /** Pauses in a row without an answer in time between them. */
  private count = 0;

  constructor(private readonly drawRandom: () => number = Math.random) {}

  /** Whether the entry places requests itself. */
  isActive(now: number): boolean {
    return now < this.until;
  }

  /** Begins a pause, twice as long as the last one if the leader has not answered in time since. */
  begin(now: number): void {
    const ms = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** this.count);
    this.count += 1;
    this.until = now + ms * (1 + JITTER * this.drawRandom());
  }

  /** Begins a short pause after the stream to the leader has ended: the leader may be gone. */
  beginShort(now: number): void {
    this.until = now + MIN_PAUSE_MS;
  }

  /** Records a message of the leader. It ends a first pause: the leader may only have hung. */
  recordMessage(now: number, isInTime: boolean): void {
    if (isInTime && !this.isActive(now)) this.count = 0;
    if (this.count <= 1) this.until = -Infinity;
  }

  /** Ends the pause and forgets how late the leader was, because another one leads. */
  reset(): void {
    this.count = 0;
    this.until = -Infinity;
  }
}
