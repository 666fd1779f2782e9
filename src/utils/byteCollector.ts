/** Capacity of the first buffer, in bytes. */
const MIN_CAPACITY = 256;

/**
 * Collects bytes that arrive in pieces. What a piece costs depends on its own length only: joining
 * buffers would copy all that is held for each piece.
 *
 * @example
 * collector.add(chunk);
 * const bytes = collector.take();
 */
export class ByteCollector {
  private buffer: Buffer = Buffer.alloc(0);

  private used = 0;

  /** Number of bytes that are held. */
  get length(): number {
    return this.used;
  }

  /** The bytes that are held; valid until the next call. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.used);
  }

  /** Adds bytes, which are copied. */
  add(piece: Buffer): void {
    const needed = this.used + piece.length;
    if (needed > this.buffer.length) this.extendTo(needed);
    piece.copy(this.buffer, this.used);
    this.used = needed;
  }

  /** Returns all bytes and holds none from now on. */
  take(): Buffer {
    const { bytes } = this;
    this.buffer = Buffer.alloc(0);
    this.used = 0;
    return bytes;
  }

  private extendTo(needed: number): void {
    const larger = Buffer.alloc(Math.max(MIN_CAPACITY, 2 * this.buffer.length, needed));
    this.bytes.copy(larger);
    this.buffer = larger;
  }
}
