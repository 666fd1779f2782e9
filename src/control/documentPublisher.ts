import type { PublishReply, PublishRequest } from '../protocol/generated/beechlift';
import { BeechliftError } from '../errors/beechliftError';
import { resultCodes } from '../errors/resultCodes';
import { Operation } from '../utils/operation';
import { encodeCommand } from './documentCommand';
import type { LogRunner } from './logRunner';
import type { RoutedNodeParts } from './routedNodeParts';

/** Most milliseconds that an operator's change may take. */
const PUBLISH_TIMEOUT_MS = 3_000;
/**
 * How long a change waits for an election that is under way, in milliseconds: most of the second
 * after which operators ask another replica, which would know no leader either.
 */
const LEADER_WAIT_MS = 600;

/** What a publisher needs. */
export interface DocumentPublisherParts extends Pick<RoutedNodeParts, 'readRouting' | 'port' | 'clock' | 'logger'> {
  readonly runner: Pick<LogRunner<true>, 'propose'>;
  /** Version in force at this replica. */
  readonly readVersion: () => number;
  /** The leader as this replica knows it; empty when there is none. */
  readonly readLeaderAddress: () => string;
  /** Waits until a leader is known, so long at most; tells whether it is this replica. */
  readonly waitLeader: (maxMs: number) => Promise<boolean>;
}

/**
 * Has a majority accept the documents that operators send; where this replica follows, by way of
 * the leader.
 *
 * @example
 * const { code } = await publisher.publish({ document, deadlineMs: 3_000, forwarded: false });
 */
export class DocumentPublisher {
  constructor(private readonly parts: DocumentPublisherParts) {}

  /** Checks a document and has it accepted; an older one than is in force changes nothing. */
  async publish(request: PublishRequest): Promise<PublishReply> {
    const { readRouting, logger, readVersion } = this.parts;
    const { routing, faults } = readRouting(request.document);
    if (!routing) {
      logger.info('document refused', { faults: faults.slice(0, 3).join('; ') });
      return { code: resultCodes.manifestInvalid.number, message: faults.join('\n'), version: 0 };
    }
    if (routing.version <= readVersion()) return this.accept(routing.version);
    const isLeading = await this.parts.waitLeader(LEADER_WAIT_MS);
    if (!isLeading) return this.forward(request);
    const operation = new Operation({ timeoutMs: PUBLISH_TIMEOUT_MS, clock: this.parts.clock });
    const command = encodeCommand({ version: routing.version, document: request.document });
    await this.parts.runner.propose(command, operation);
    return this.accept(routing.version);
  }

  private accept(version: number): PublishReply {
    const inForce = this.parts.readVersion();
    this.parts.logger.info('document accepted', { version, inForce });
    return { code: 0, message: '', version: inForce };
  }

  private forward(request: PublishRequest): Promise<PublishReply> {
    const address = this.parts.readLeaderAddress();
    if (request.forwarded || address === '') throw new BeechliftError('noQuorum', 'no replica leads at the moment');
    return this.parts.port.publish({ ...request, forwarded: true }, address);
  }
}
