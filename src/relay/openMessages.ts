/** Most messages whose times are stored; those beyond do not count as late. */
const MAX_MESSAGES = 1_000;

/** A message that was not acknowledged yet. */
interface OpenMessage {
  readonly number: number;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
}

/**
 * Numbered messages of one stream that its peer has not acknowledged. A peer that falls behind goes
 * on sending acknowledgements: only the age of what it has not acknowledged tells how late it is.
 *
 * @example
 * openMessages.add(7, now);
 * const delayMs = openMessages.acknowledge(7, now + 12); // 12
 */
export class OpenMessages {
  /** Oldest first. */
  private messages: OpenMessage[] = [];

  /** Number of messages that were not acknowledged. */
  get size(): number {
    return this.messages.length;
  }

  /** Records a message that was sent. */
  add(number: number, now: number): void {
    if (this.messages.length < MAX_MESSAGES) this.messages.push({ number, sentAt: now });
  }

  /**
   * Records the acknowledgement of all messages up to a number. Returns how long the latest of them
   * took, in milliseconds; Infinity if it acknowledges none.
   */
  acknowledge(number: number, now: number): number {
    const latest = this.messages.findLast((message) => message.number <= number);
    this.messages = this.messages.filter((message) => message.number > number);
    return latest ? now - latest.sentAt : Infinity;
  }

  /** Measures the age of the oldest unacknowledged message, in milliseconds; 0 if there is none. */
  measureOldest(now: number): number {
    const [oldest] = this.messages;
    return oldest ? now - oldest.sentAt : 0;
  }
}
