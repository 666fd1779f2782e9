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
   * A VM loses power while a record is written. After its restart every answered record must be
   * there, and the one that was not answered may be there or not, but never in part.
   */
  it.each<[FailurePoint, number]>([
    ['beforeAppend', 0], ['tornAppend', 3], ['tornAppend', 400], ['beforeSync', 0], ['beforeSync', 400], ['afterSync', 0],
  ])('should hold all answered records after power loss at %s with %i torn bytes', async (point, tornBytes) => {
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
   * Power is lost while the file is rewritten shorter. The restart must find the old content or
   * the new one, whole.
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
   * A file was rewritten, and old content is back after a power loss: the new name was not synced.
   */
  it('should hold the new content once a rewrite is done', async () => {
    const { files, file } = await fillFile();
    await file.replace(() => [{ n: 9 }]);
    files.restart();
    expect((await openFile(files)).records).toEqual([{ n: 9 }]);
  });

  /*
   * A bit flips in a record that was answered long ago. Cutting it and all after it would lose
   * accepted manifests silently, so the replica must refuse to start.
   */
  it('should refuse a damaged record that sound ones follow', async () => {
    const { files } = await fillFile();
    files.corruptByte(PATH, 12);
    await expect(openFile(files)).rejects.toMatchObject({ code: 'logCorrupt' });
  });

  /*
   * The disk is full. Two appends share one write; the first caller hears of the failure, the
   * second was told that its record is safe, as nothing was left to write for it.
   */
  it('should tell every caller of a write that failed', async () => {
    const { files, file } = await fillFile();
    files.isFull = true;
    const results = await Promise.allSettled([file.append([{ n: 3 }]), file.append([{ n: 4 }])]);
    files.isFull = false;
    results.push(...await Promise.allSettled([file.append([{ n: 5 }])]));
    expect(results.map(({ status }) => status)).toEqual(['rejected', 'rejected', 'rejected']);
  });

  /*
   * A claim is promised while the file of claims is being rewritten. It was answered, and was in
   * neither the old file nor the new.
   */
  it('should not lose what is appended while it is rewritten', async () => {
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

  // A process is killed while it syncs and starts again; it acknowledges what its file holds, its
  // machine loses power, and what it acknowledged is gone.
  it('should hold what it found when it was opened, after a power loss', async () => {
    const { files, file } = await fillFile();
    files.failAt = 'beforeSync';
    await expect(file.append([{ n: 3 }])).rejects.toMatchObject({ code: 'storageFailed' });
    files.failAt = undefined;
    const { records } = await openFile(files);
    expect(records).toEqual([{ n: 1 }, { n: 2 }, { n: 3 }]);
    files.restart();
    expect((await openFile(files)).records).toEqual(records);
  });

  // Power is lost while several records are written; of the two writes that they take the first is
  // missing and the second is there, and the replica refuses to start ever after.
  it('should cut a batch off whose beginning is missing', async () => {
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
