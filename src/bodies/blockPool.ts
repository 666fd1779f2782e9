/** Size of a block, in bytes. */
export const BLOCK_BYTES = 16_384;

/**
 * Blocks of memory for bodies, which are used again. Memory of bodies that were given up would
 * otherwise be freed only by the next garbage collection, later than a crowd of callers uses more.
 *
 * @example
 * const block = pool.take();
 * pool.put(block);
 */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** Returns a block with unspecified content. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes a block back. */
  put(block: Buffer): void {
    this.free.push(block);
  }
}
