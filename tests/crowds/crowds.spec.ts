import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { Crowd, formatChunks, formatHead } from '../fakes/crowd';
import type { CrowdScript } from '../fakes/crowd';
import { CrowdSite, MAX_BODY_BYTES } from '../fakes/crowdSite';
import type { CrowdedProcess } from '../fakes/crowdSite';

/** Memory of each machine, in megabytes: processes without callers use up to 75. */
const MEMORY_MB = 160;
/** Descriptors that each machine has for a process. */
const MAX_FILES = 256;

const LARGE_CHUNK = 16_384;
const FLOOD_BYTES = 16 * MAX_BODY_BYTES;

/** Sends chunks until a body has almost reached a size, and stops. */
const stopShort = (path: string, bytes = MAX_BODY_BYTES - 100_000): CrowdScript => ({
  head: formatHead(path),
  piece: formatChunks(LARGE_CHUNK, 1),
  pieceCount: Math.floor(bytes / LARGE_CHUNK),
});

/** Sends chunks far beyond every limit. */
const flood = (path: string): CrowdScript => stopShort(path, FLOOD_BYTES);

/** Sends chunks of one byte, and stops. */
const sendBytes = (path: string, bytes: number): CrowdScript => ({
  head: formatHead(path), piece: formatChunks(1, 4_096), pieceCount: Math.floor(bytes / 4_096),
});

/** Announces a length far over every limit, and sends it. */
const announceTooMuch = (path: string): CrowdScript => ({
  head: formatHead(path, 4 * FLOOD_BYTES),
  piece: Buffer.alloc(LARGE_CHUNK),
  pieceCount: FLOOD_BYTES / LARGE_CHUNK,
});

/** Asks for large answers on one connection and reads none. */
const readNothing = (): CrowdScript => ({
  head: '',
  piece: Buffer.from('POST /bulk HTTP/1.1\r\nhost: shop.example\r\nattempt-id: crowd\r\ncontent-length: 0\r\n\r\n'),
  pieceCount: 20,
  reads: false,
});

/** Sends many requests on one connection before any is answered. */
const sendManyRequests = (): CrowdScript => ({
  head: '',
  piece: Buffer.from('POST /orders HTTP/1.1\r\nhost: shop.example\r\nattempt-id: crowd\r\ncontent-length: 0\r\n\r\n'.repeat(200)),
  pieceCount: 100,
  reads: false,
});

/** Sends a body in chunks of one byte behind a request whose answer it does not read. */
const sendBytesBehind = (bytes: number): CrowdScript => {
  const behind = sendBytes('/orders', bytes);
  return { ...behind, head: `${readNothing().piece.toString()}${behind.head}`, reads: false };
};

/** Sends a part of a head, and stops. */
const openOnly = (): CrowdScript => ({
  head: 'POST /orders HTTP/1.1\r\n', piece: Buffer.from(''), pieceCount: 0,
});

describe('a crowd of callers that send more than they may, or never end', () => {
  let site: CrowdSite;

  const runCrowd = async (
    name: CrowdedProcess,
    address: string,
    script: CrowdScript,
    count: number,
  ): Promise<void> => {
    const crowd = new Crowd(address, script, count);
    await crowd.waitSent();
    expect(site.isRunning(name)).toBe(true);
    expect(site.countFiles(name)).toBeLessThanOrEqual(MAX_FILES);
    crowd.close();
    await site.waitServed();
    expect(site.readPeakMb(name)).toBeLessThanOrEqual(MEMORY_MB);
  };

  beforeEach(async () => {
    site = await CrowdSite.open({ memoryMb: MEMORY_MB, maxFiles: MAX_FILES });
  });

  afterEach(async () => {
    await site.close();
  });

  // Fault: each body was bounded, but not the sum of all bodies.
  it('should not use up the memory of an entry with bodies that stop short of their end', async () => {
    await runCrowd('entry-4', site.callerAddress, stopShort('/orders'), 150);
  });

  // Fault: refused bodies were kept while more of them arrived.
  it('should not use up the memory of an entry with bodies far over the limit', async () => {
    await runCrowd('entry-4', site.callerAddress, flood('/orders'), 60);
  });

  it('should not use up the memory of an entry with announced bodies far over the limit', async () => {
    await runCrowd('entry-4', site.callerAddress, announceTooMuch('/orders'), 60);
  });

  // Fault: all chunks that had arrived on a connection were handled in one turn of the event loop.
  it('should not keep an entry from serving others with chunks of one byte', async () => {
    await runCrowd('entry-4', site.callerAddress, sendBytes('/orders', 524_288), 60);
  });

  // Fault: the answers of pipelined requests were kept for callers that read none.
  it('should not use up the memory of an entry with answers that are not read', async () => {
    await runCrowd('entry-4', site.callerAddress, readNothing(), 60);
  });

  // Fault: each request that waits for its turn on a connection was kept, whatever their number.
  it('should not use up the memory of an entry with many requests on one connection', async () => {
    await runCrowd('entry-4', site.callerAddress, sendManyRequests(), 20);
  });

  // Fault: a body that waits for its turn was kept as a list of its chunks.
  it('should not use up the memory of an entry with chunks of one byte behind another request', async () => {
    await runCrowd('entry-4', site.callerAddress, sendBytesBehind(131_072), 60);
  });

  // Fault: open connections took all descriptors of the process.
  it('should not use up the descriptors of an entry with connections that stay open', async () => {
    await runCrowd('entry-4', site.callerAddress, openOnly(), 400);
  });

  // Fault: look-ups have no bodies, but 64 MiB were accepted for each.
  it('should not use up the memory of an entry with bodies of look-ups', async () => {
    await runCrowd('entry-4', site.directoryAddress, flood('/v1/resolution'), 60);
  });

  it('should not use up the descriptors of an entry with look-ups that stay open', async () => {
    await runCrowd('entry-4', site.directoryAddress, openOnly(), 400);
  });

  it('should not use up the memory of a replica with bodies far over the limit', async () => {
    await runCrowd('control-1', site.operatorAddress, flood('/v1/Configuration.Replace'), 60);
  });

  // Fault: the framework kept each chunk of a body in a list.
  it('should not use up the memory of a replica with chunks of one byte', async () => {
    await runCrowd('control-1', site.operatorAddress, sendBytes('/v1/Configuration.Replace', 131_072), 40);
  });
});
