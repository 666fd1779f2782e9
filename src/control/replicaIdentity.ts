import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import type { FileSystem } from '../disk/fileSystem';
import { RecordFile } from '../disk/recordFile';
import type { Replica } from '../protocol/generated/beechlift';

interface IdentityRecord {
  readonly birth?: string;
  readonly founders?: readonly Replica[];
}

/**
 * The identity of a replica: a birth that its disk keeps. A disk that was lost brings forth another
 * birth, so a replica that has forgotten its votes is never taken for the one that gave them.
 *
 * @example
 * const record = new BirthRecord(nodeFileSystem, 'data');
 * await record.open();
 */
export class ReplicaIdentity {
  /** The birth; the same for as long as the disk lasts. */
  id = '';

  /** Voters that the site began with; undefined until this replica takes part in one. */
  founders: readonly Replica[] | undefined;

  /** Whether the disk held a birth already when the process started. */
  existedAtStart = false;

  private readonly file: RecordFile;

  constructor(files: FileSystem, folder: string) {
    this.file = new RecordFile(files, join(folder, 'birth.log'));
  }

  /** Reads the birth, or writes a new one, which is synced before anybody hears of it. */
  async open(): Promise<void> {
    const records = await this.file.open() as IdentityRecord[];
    const birth = records.find((record) => record.birth !== undefined)?.birth;
    this.founders = records.find((record) => record.founders !== undefined)?.founders;
    this.existedAtStart = birth !== undefined;
    this.id = birth ?? randomUUID();
    if (birth === undefined) await this.file.append([{ birth: this.id }]);
  }

  /** Notes with whom the site begins; empty for a replica that joins one. */
  async saveFounders(founders: readonly Replica[]): Promise<void> {
    await this.file.append([{ founders }]);
    this.founders = founders;
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
