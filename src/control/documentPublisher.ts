import type { PublishReply, PublishRequest } from '../protocol/generated/beechlift';
import { BeechliftError } from '../errors/beechliftError';
import { resultCodes } from '../errors/resultCodes';
import type { DocumentVersion } from '../manifest/documentVersion';
import { Operation } from '../utils/operation';
import { encodeCommand } from './documentCommand';
import type { LogRunner } from './logRunner';
import type { RoutedNodeParts } from './routedNodeParts';

/** Time limit for a change of an operator, in milliseconds. */
const PUBLISH_TIMEOUT_MS = 3_000;
/**
 * How long a change waits for an election in progress, in milliseconds. Operators retry at another
 * replica after one second, and that replica would not know a leader either.
 */
const LEADER_WAIT_MS = 600;

/** Dependencies of a publisher. */
export interface DocumentPublisherParts extends Pick<RoutedNodeParts, 'readRouting' | 'port' | 'clock' | 'logger'> {
  readonly runner: Pick<LogRunner<true>, 'propose'>;
  /** Version of the current document of this replica. */
  readonly readVersion: () => DocumentVersion;
  /** gRPC address of the leader; empty if this replica knows none. */
  readonly readLeaderAddress: () => string;
  /** Waits up to `maxMs` until a leader is known; resolves with whether it is this replica. */
  readonly waitLeader: (maxMs: number) => Promise<boolean>;
}

/**
 * Replicates the documents of operators to a majority; a follower forwards them to the leader.
 *
 * @example
 * const { code } = await publisher.publish({ document, deadlineMs: 3_000, forwarded: false });
 */
export class DocumentPublisher {
  constructor(private readonly parts: DocumentPublisherParts) {}

  /** Validates and replicates a document; accepts an older version without effect. */
  async publish(request: PublishRequest): Promise<PublishReply> {
    const { readRouting, logger, readVersion } = this.parts;
    const { routing, faults } = readRouting(request.document);
    if (!routing) {
      logger.info('document refused', { faults: faults.slice(0, 3).join('; ') });
      return { code: resultCodes.manifestInvalid.number, message: faults.join('\n'), version: '0' };
    }
    if (routing.version <= readVersion()) return this.accept(routing.version);
    const isLeading = await this.parts.waitLeader(LEADER_WAIT_MS);
    if (!isLeading) return this.forward(request);
    const operation = new Operation({ timeoutMs: PUBLISH_TIMEOUT_MS, clock: this.parts.clock });
    const command = encodeCommand({ version: routing.version, document: request.document });
    await this.parts.runner.propose(command, operation);
    return this.accept(routing.version);
  }

  private accept(version: DocumentVersion): PublishReply {
    const inForce = this.parts.readVersion();
    this.parts.logger.info('document accepted', { version, inForce });
    return { code: 0, message: '', version: String(inForce) };
  }

  private forward(request: PublishRequest): Promise<PublishReply> {
    const address = this.parts.readLeaderAddress();
    if (request.forwarded || address === '') throw new BeechliftError('noQuorum', 'no replica leads at the moment');
    return this.parts.port.publish({ ...request, forwarded: true }, address);
  }
}
