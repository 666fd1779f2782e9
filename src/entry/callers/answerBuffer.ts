/**
 * Gathers an answer while it is relayed, so that a resend can have it, up to a bound.
 *
 * @example
 * const kept = new KeptAnswer(65_536);
 * kept.add(data);
 */
export class AnswerBuffer {
  private events: string[] = [];

  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Whether all of the answer is within the bound. */
  get isComplete(): boolean {
    return this.bytes <= this.maxBytes;
  }

  /** Adds an event; beyond the bound everything is let go. */
  add(data: string): void {
    this.bytes += Buffer.byteLength(data);
    if (this.isComplete) this.events.push(data);
    else this.events = [];
  }

  /** Writes the answer for a claim. */
  encode(): Buffer {
    return Buffer.from(JSON.stringify(this.events));
  }
}

/** Reads the events of an answer that a claim kept. */
export const decodeStoredAnswer = (bytes: Uint8Array): string[] => (
  JSON.parse(Buffer.from(bytes).toString()) as string[]
);
