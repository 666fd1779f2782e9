import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import type { FileSystem } from '../disk/fileSystem';
import { RecordFile } from '../disk/recordFile';
import { BeechliftError } from '../errors/beechliftError';
import type { FoundingReply } from '../protocol/generated/beechlift';
import type { ReplicaSetting } from '../settings/settings';

const POLL_MS = 150;

/** What founding needs of a replica. */
export interface FoundingParts {
  readonly id: string;
  readonly replicas: readonly ReplicaSetting[];
  readonly joining: boolean;
  readonly files: FileSystem;
  readonly dataFolder: string;
  /** Asks another replica what it knows; rejects when it does not answer. */
  readonly askOther: (address: string) => Promise<FoundingReply>;
}

const formatBirth = (id: string, birth: string): string => `${id}=${birth}`;

/**
 * Decides whether a replica with an empty data folder may begin.
 *
 * Guards against a replica that lost its disk and comes back as if it had never voted: with one
 * more that lags it would be a majority which knows nothing of what was accepted. An empty replica
 * begins only together with all the others, each seen empty in the same start; where the site
 * exists already it refuses, and is replaced under a new id.
 *
 * @example
 * const founding = new Founding(parts);
 * await founding.settle();
 */
export class Founding {
  private readonly birth = randomUUID();

  private births: readonly string[] = [];

  private founded = false;

  private readonly file: RecordFile;

  constructor(private readonly parts: FoundingParts) {
    this.file = new RecordFile(parts.files, join(parts.dataFolder, 'founding.log'));
  }

  /** What others may know; voters are added by whoever runs the log. */
  read(voters: readonly string[]): FoundingReply {
    return {
      id: this.parts.id,
      birth: this.birth,
      founded: this.founded,
      births: [...this.births],
      voters: [...voters],
    };
  }

  /** Resolves once this replica may begin; throws when it must not. */
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
    throw new BeechliftError('diskLost', `the data folder of replica "${id}" is empty, but replica "${reply.id}" knows a site in which it took part`);
  }

  private canStart(replies: readonly FoundingReply[], otherCount: number): boolean {
    if (this.parts.joining) return replies.length > 0;
    const founder = replies.find((reply) => reply.founded);
    const births = replies.map((reply) => formatBirth(reply.id, reply.birth));
    this.births = founder?.births ?? [...births, formatBirth(this.parts.id, this.birth)];
    return founder !== undefined || replies.length === otherCount;
  }
}
