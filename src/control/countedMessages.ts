/**
 * Messages that were sent on a stream whose receiver counts what has arrived.
 *
 * @example
 * counted.recordSent(now);
 * if (counted.measureSilence(now) >= 1_000) replaceConnection();
 */
export class CountedMessages {
  private sent = 0;

  private received = 0;

  /** Time since which a count is due while messages are on their way, monotonic milliseconds. */
  private dueSince = 0;

  /** Number of messages that were not counted. */
  get onTheirWay(): number {
    return this.sent - this.received;
  }

  /** Records that a message is sent. */
  recordSent(now: number): void {
    if (this.onTheirWay === 0) this.dueSince = now;
    this.sent += 1;
  }

  /** Records how many messages have arrived. */
  recordCount(received: number, now: number): void {
    this.received = received;
    this.dueSince = now;
  }

  /** Time for which a count has been due, in milliseconds; 0 if no message is on its way. */
  measureSilence(now: number): number {
    return this.onTheirWay === 0 ? 0 : now - this.dueSince;
  }
}
