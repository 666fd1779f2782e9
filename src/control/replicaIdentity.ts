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
 * The identity of a replica, stored on its disk. A replica whose disk was lost gets a new identity,
 * so a replica that has lost its votes is never mistaken for the one that cast them.
 *
 * @example
 * const identity = new ReplicaIdentity(nodeFileSystem, 'data');
 * await identity.open();
 */
export class ReplicaIdentity {
  /** Id of the replica; unchanged as long as its disk exists. */
  id = '';

  /** Initial voters of the site, empty on a joining replica; undefined until they are known. */
  founders: readonly Replica[] | undefined;

  /** Whether the disk already held an identity when the process started. */
  existedAtStart = false;

  private readonly file: RecordFile;

  constructor(files: FileSystem, folder: string) {
    this.file = new RecordFile(files, join(folder, 'birth.log'));
  }

  /** Reads the identity, or writes a new one and syncs it before it is used. */
  async open(): Promise<void> {
    const records = await this.file.open() as IdentityRecord[];
    const birth = records.find((record) => record.birth !== undefined)?.birth;
    this.founders = records.find((record) => record.founders !== undefined)?.founders;
    this.existedAtStart = birth !== undefined;
    this.id = birth ?? randomUUID();
    if (birth === undefined) await this.file.append([{ birth: this.id }]);
  }

  /** Stores the initial voters of the site; empty for a replica that joins an existing site. */
  async saveFounders(founders: readonly Replica[]): Promise<void> {
    await this.file.append([{ founders }]);
    this.founders = founders;
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
