import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import type { FileSystem } from '../disk/fileSystem';
import { RecordFile } from '../disk/recordFile';
import type { Replica } from '../protocol/generated/beechlift';

interface IdentityRecord {
  readonly birth?: string;
  readonly seeds?: readonly string[];
  readonly founders?: readonly Replica[];
}

/**
 * The identity of a replica, stored on its disk. A replica whose disk was lost gets a new identity,
 * so a replica that has lost its votes is never mistaken for the one that cast them.
 *
 * @example
 * const identity = new ReplicaIdentity(nodeFileSystem, 'data');
 * await identity.open(seeds); // the settings declare the first start, and it is one of the seeds
 */
export class ReplicaIdentity {
  /** Id of the replica; unchanged as long as its disk exists. */
  id = '';

  /** Addresses of all founders if the settings of a first start named this one, else empty. */
  seeds: readonly string[] = [];

  /** Initial voters of the site, empty on a joining replica; undefined until they are known. */
  founders: readonly Replica[] | undefined;

  private readonly file: RecordFile;

  constructor(files: FileSystem, folder: string) {
    this.file = new RecordFile(files, join(folder, 'birth.log'));
  }

  /**
   * Reads the identity, or writes a new one and syncs it before it is used.
   *
   * @param declaredSeeds addresses of all founders if the settings declare the first start and this
   * replica is one of them; later settings no longer tell
   */
  async open(declaredSeeds: readonly string[] = []): Promise<void> {
    const records = await this.file.open() as IdentityRecord[];
    const birth = records.find((record) => record.birth !== undefined)?.birth;
    const seeds = records.find((record) => record.seeds !== undefined)?.seeds;
    this.founders = records.find((record) => record.founders !== undefined)?.founders;
    this.id = birth ?? randomUUID();
    this.seeds = seeds ?? declaredSeeds;
    const isNew = birth === undefined || (seeds === undefined && declaredSeeds.length > 0);
    if (!isNew) return;
    const declared = this.seeds.length > 0 ? { seeds: this.seeds } : {};
    await this.file.append([{ birth: this.id, ...declared }]);
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
