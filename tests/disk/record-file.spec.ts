import { setImmediate } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { RecordFile } from '../../src/disk/recordFile';
import { MemoryFileSystem } from '../fakes/memoryFileSystem';
import type { FailurePoint } from '../fakes/memoryFileSystem';
import { PowerLossFileSystem } from '../fakes/powerLossFileSystem';
import type { UnsyncedWriteState } from '../fakes/powerLossFileSystem';

const PATH = 'data/log';

const openFile = async (files: MemoryFileSystem) => {
  const file = new RecordFile(files, PATH);
  return { file, records: await file.open() };
};

const fillFile = async () => {
  const files = new MemoryFileSystem();
  const { file } = await openFile(files);
  await file.append([{ n: 1 }]);
  await file.append([{ n: 2 }]);
  return { files, file };
};

describe('a record file', () => {
  /*
   * A VM loses power while a record is written. After the restart every acknowledged record must be
   * present. The one that was not acknowledged may be present or missing, but never partial.
   */
  it.each<[FailurePoint, number]>([
    ['beforeAppend', 0], ['tornAppend', 3], ['tornAppend', 400], ['beforeSync', 0], ['beforeSync', 400], ['afterSync', 0],
  ])('should hold all acknowledged records after power loss at %s with %i torn bytes', async (point, tornBytes) => {
    const { files, file } = await fillFile();
    files.failAt = point;
    await expect(file.append([{ n: 3 }])).rejects.toMatchObject({ code: 'storageFailed' });
    files.restart(tornBytes);
    const { file: reopened, records } = await openFile(files);
    expect(records.slice(0, 2)).toEqual([{ n: 1 }, { n: 2 }]);
    await reopened.append([{ n: 4 }]);
    files.restart();
    expect((await openFile(files)).records).toEqual([...records, { n: 4 }]);
  });

  /*
   * Power is lost while the file is replaced by a shorter one. After the restart the file must have
   * either the old or the new content, complete.
   */
  it.each<FailurePoint>(['beforeAppend', 'tornAppend', 'beforeSync', 'afterSync', 'beforeRename', 'afterRename'])('should hold the old or the new content after power loss at %s of a rewrite', async (point) => {
    const { files, file } = await fillFile();
    files.failAt = point;
    await expect(file.replace(() => [{ n: 9 }])).rejects.toMatchObject({ code: 'storageFailed' });
    files.restart();
    const { records } = await openFile(files);
    expect([[{ n: 1 }, { n: 2 }], [{ n: 9 }]]).toContainEqual(records);
  });

  /*
   * A rewritten file had its old content again after a power loss, because the rename was not
   * synced.
   */
  it('should hold the new content once a rewrite is done', async () => {
    const { files, file } = await fillFile();
    await file.replace(() => [{ n: 9 }]);
    files.restart();
    expect((await openFile(files)).records).toEqual([{ n: 9 }]);
  });

  /*
   * A bit flips in a record that was acknowledged long ago. Cutting off the file there would lose
   * accepted manifests silently, so the replica must refuse to start.
   */
  it('should refuse a corrupt record that is followed by valid ones', async () => {
    const { files } = await fillFile();
    files.corruptByte(PATH, 12);
    await expect(openFile(files)).rejects.toMatchObject({ code: 'logCorrupt' });
  });

  /*
   * The disk is full and two appends share one write. The first append failed, but the second one
   * succeeded because nothing was left to write for it.
   */
  it('should reject all appends that share or follow a failed write', async () => {
    const { files, file } = await fillFile();
    files.isFull = true;
    const results = await Promise.allSettled([file.append([{ n: 3 }]), file.append([{ n: 4 }])]);
    files.isFull = false;
    results.push(...await Promise.allSettled([file.append([{ n: 5 }])]));
    expect(results.map(({ status }) => status)).toEqual(['rejected', 'rejected', 'rejected']);
  });

  /*
   * A claim is promised while the file of claims is rewritten. The promise was acknowledged, but
   * stored in neither the old nor the new file.
   */
  it('should not lose records that are appended during a rewrite', async () => {
    const { files, file } = await fillFile();
    const replacement = [{ n: 7 }];
    const first = file.append([{ n: 3 }]);
    const rewritten = file.replace(() => replacement);
    replacement.push({ n: 8 });
    const second = file.append([{ n: 8 }]);
    await Promise.all([first, rewritten, second]);
    files.restart();
    expect((await openFile(files)).records).toContainEqual({ n: 8 });
  });

  // A process is killed during a sync and restarts. It acknowledges the records of its file, then
  // its machine loses power, and the acknowledged records are lost.
  it('should not lose records found on opening in a power loss', async () => {
    const { files, file } = await fillFile();
    files.failAt = 'beforeSync';
    await expect(file.append([{ n: 3 }])).rejects.toMatchObject({ code: 'storageFailed' });
    files.failAt = undefined;
    const { records } = await openFile(files);
    expect(records).toEqual([{ n: 1 }, { n: 2 }, { n: 3 }]);
    files.restart();
    expect((await openFile(files)).records).toEqual(records);
  });

  // Power is lost while several records are written with two writes. The first is missing and the
  // second is present, so that the replica refused to start from then on.
  it('should cut off a batch whose beginning is missing', async () => {
    const files = new PowerLossFileSystem();
    files.isSyncImmediate = true;
    const file = new RecordFile(files, PATH);
    await file.open();
    await file.append([{ n: 1 }]);
    files.isSyncImmediate = false;
    file.append([{ text: 'a'.repeat(600_000) }, { n: 3 }]).catch(() => undefined);
    await setImmediate();
    const fates: UnsyncedWriteState[] = ['present', 'missing', 'present'];
    files.cutPower(() => fates.shift() ?? 'present');
    files.isSyncImmediate = true;
    expect(await new RecordFile(files, PATH).open()).toEqual([{ n: 1 }]);
  });
});
