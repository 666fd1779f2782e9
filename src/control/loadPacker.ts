import { LoadList } from '../protocol/generated/beechlift';
import type { WorkerLoad } from '../protocol/generated/beechlift';

/** How long an encoded list is used again, in milliseconds: far below the time between replies. */
const REUSE_MS = 50;

/**
 * Encodes the loads of all backend servers once for the replies to many entries. Built for each
 * reply, the list would take most of the time of a leader with a hundred servers.
 *
 * @example
 * const loadList = packer.build(clock.now());
 */
export class LoadPacker {
  private packed: Buffer = Buffer.alloc(0);

  private packedAt = -Infinity;

  constructor(private readonly listLoads: () => WorkerLoad[]) {}

  /** Returns the encoded list, which may be some milliseconds old. */
  build(now: number): Buffer {
    if (now - this.packedAt >= REUSE_MS) {
      this.packed = Buffer.from(LoadList.encode({ loads: this.listLoads() }).finish());
      this.packedAt = now;
    }
    return this.packed;
  }
}
