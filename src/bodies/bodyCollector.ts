import { ByteCollector } from '../utils/byteCollector';
import { BLOCK_BYTES } from './blockPool';
import type { BlockPool } from './blockPool';

/**
 * Collects the pieces of a body: a short one in a buffer that grows, a longer one in blocks, so
 * that nothing is copied while it grows.
 *
 * @example
 * if (share.reserve(collector.measureGrowth(piece.length))) collector.add(piece);
 * const body = collector.take();
 */
export class BodyCollector {
  private readonly short = new ByteCollector();

  private blocks: Buffer[] = [];

  private used = 0;

  constructor(private readonly pool: BlockPool) {}

  /** Number of bytes that are held. */
  get length(): number {
    return this.used;
  }

  /** Bytes of memory that adding a piece of this length takes in addition. */
  measureGrowth(length: number): number {
    const needed = this.used + length;
    if (needed <= BLOCK_BYTES) return length;
    const held = this.blocks.length > 0 ? this.blocks.length * BLOCK_BYTES : this.used;
    return Math.max(0, Math.ceil(needed / BLOCK_BYTES) * BLOCK_BYTES - held);
  }

  /** Adds bytes, which are copied. */
  add(piece: Buffer): void {
    if (this.used + piece.length <= BLOCK_BYTES && this.blocks.length === 0) {
      this.short.add(piece);
      this.used += piece.length;
      return;
    }
    if (this.blocks.length === 0) {
      const begun = this.short.take();
      this.used = 0;
      this.fill(begun);
    }
    this.fill(piece);
  }

  /** Returns all bytes and holds none from now on. */
  take(): Buffer {
    if (this.blocks.length === 0) return this.short.take();
    const body = Buffer.allocUnsafeSlow(this.used);
    this.blocks.forEach((block, position) => block.copy(body, position * BLOCK_BYTES));
    this.clear();
    return body;
  }

  /** Drops all bytes. */
  clear(): void {
    this.short.take();
    this.blocks.forEach((block) => this.pool.put(block));
    this.blocks = [];
    this.used = 0;
  }

  /** Copies bytes to the blocks, and adds blocks as needed. */
  private fill(piece: Buffer): void {
    let copied = 0;
    while (copied < piece.length) {
      const position = this.used % BLOCK_BYTES;
      const block = position === 0 ? this.addBlock() : this.blocks.at(-1) ?? this.addBlock();
      const count = piece.copy(block, position, copied);
      copied += count;
      this.used += count;
    }
  }

  private addBlock(): Buffer {
    const block = this.pool.take();
    this.blocks.push(block);
    return block;
  }
}
