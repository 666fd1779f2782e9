import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import type { FileSystem } from '../disk/fileSystem';
import { RecordFile } from '../disk/recordFile';
import { BeechliftError } from '../errors/beechliftError';
import type { FoundingReply } from '../protocol/generated/beechlift';
import type { ReplicaSetting } from '../settings/settings';

const POLL_MS = 150;

/** Dependencies of founding. */
export interface FoundingParts {
  readonly id: string;
  readonly replicas: readonly ReplicaSetting[];
  readonly joining: boolean;
  readonly files: FileSystem;
  readonly dataFolder: string;
  /** Reads the founding state of another replica; rejects if it does not answer. */
  readonly askOther: (address: string) => Promise<FoundingReply>;
}

const formatBirth = (id: string, birth: string): string => `${id}=${birth}`;

/**
 * Decides whether a replica with an empty data folder may start.
 *
 * A replica that lost its disk must not rejoin as if it had never voted: together with a replica
 * that lags, it could form a majority without the accepted changes. So an empty replica starts only
 * if it sees all other replicas empty in the same start. If the site already exists, the replica
 * refuses to start and must be replaced under a new id.
 *
 * @example
 * const founding = new Founding(parts);
 * await founding.waitUntilAllowed();
 */
export class Founding {
  private readonly birth = randomUUID();

  private births: readonly string[] = [];

  private founded = false;

  private readonly file: RecordFile;

  constructor(private readonly parts: FoundingParts) {
    this.file = new RecordFile(parts.files, join(parts.dataFolder, 'founding.log'));
  }

  /** Reads the founding state for other replicas; the caller passes the voters of the log. */
  read(voters: readonly string[]): FoundingReply {
    return {
      id: this.parts.id,
      birth: this.birth,
      founded: this.founded,
      births: [...this.births],
      voters: [...voters],
    };
  }

  /** Resolves once this replica may start; throws if it must not. */
  async waitUntilAllowed(): Promise<void> {
    const [record] = await this.file.open() as { births: string[] }[];
    if (record) {
      this.births = record.births;
      this.founded = true;
      return;
    }
    await this.poll();
    await this.file.append([{ births: this.births }]);
    this.founded = true;
  }

  private async poll(): Promise<void> {
    const { replicas, id, askOther } = this.parts;
    const others = replicas.filter((replica) => replica.id !== id);
    const replies = await Promise.all(
      others.map(({ address }) => askOther(address).catch(() => undefined)),
    );
    const received = replies.flatMap((reply) => reply ?? []);
    received.forEach((reply) => this.rejectLostDisk(reply));
    if (this.canStart(received, others.length)) return;
    await pause(POLL_MS);
    await this.poll();
  }

  private rejectLostDisk(reply: FoundingReply): void {
    const { id, joining } = this.parts;
    const own = formatBirth(id, this.birth);
    const isUnknownMember = reply.founded && !reply.births.includes(own);
    const isLost = joining ? reply.voters.includes(id) : isUnknownMember;
    if (!isLost) return;
    throw new BeechliftError('diskLost', `the data folder of replica "${id}" is empty, but replica "${reply.id}" reports an existing site of which it was a member`);
  }

  private canStart(replies: readonly FoundingReply[], otherCount: number): boolean {
    if (this.parts.joining) return replies.length > 0;
    const founder = replies.find((reply) => reply.founded);
    const births = replies.map((reply) => formatBirth(reply.id, reply.birth));
    this.births = founder?.births ?? [...births, formatBirth(this.parts.id, this.birth)];
    return founder !== undefined || replies.length === otherCount;
  }
}
