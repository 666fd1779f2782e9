/**
 * Buffers an answer while it is relayed, up to a size limit, so that a resend can be answered
 * from the claim.
 *
 * @example
 * const answer = new AnswerBuffer(65_536);
 * answer.add(data);
 */
export class AnswerBuffer {
  private events: string[] = [];

  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Whether the whole answer so far is within the size limit. */
  get isComplete(): boolean {
    return this.bytes <= this.maxBytes;
  }

  /** Adds an event. Once the answer exceeds the size limit, all events are discarded. */
  add(data: string): void {
    this.bytes += Buffer.byteLength(data);
    if (this.isComplete) this.events.push(data);
    else this.events = [];
  }

  /** Encodes the answer for storage in a claim. */
  encode(): Buffer {
    return Buffer.from(JSON.stringify(this.events));
  }
}

/** Decodes the events of an answer that was stored in a claim. */
export const decodeStoredAnswer = (bytes: Uint8Array): string[] => (
  JSON.parse(Buffer.from(bytes).toString()) as string[]
);
