import { ControlClient } from '../protocol/generated/beechlift';
import type { CopyClaimsReply, HolderSet, Replica } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import { Operation } from '../utils/operation';
import type { LinkTable } from '../wire/linkTable';
import type { ClaimHolder } from './claimHolder';

const COPY_TIMEOUT_MS = 5_000;

/** State of the replica that the copier reads. */
export interface CopierContext {
  readonly id: string;
  readonly readHolders: () => HolderSet;
  readonly readLeaderAddress: () => string;
}

/**
 * Copies the claims of a majority of the previous holders to a new claim holder, before the new
 * holder set becomes the only one.
 *
 * After that, a majority of the new set has every claim that the old set agreed on, so that no
 * claim is lost even if a second replica fails right after the repair.
 *
 * @example
 * const copier = new HolderCopier(context, holder, links, logger);
 * setInterval(() => copier.tick(), 500);
 */
export class HolderCopier {
  private copiedSet = 0;

  private isCopying = false;

  constructor(
    private readonly context: CopierContext,
    private readonly holder: ClaimHolder,
    private readonly links: LinkTable<ControlClient>,
    private readonly logger: Logger,
  ) {}

  /** Copies the claims if this replica is new in a holder set in transition, and reports it. */
  async tick(): Promise<void> {
    const holders = this.context.readHolders();
    if (this.isCopying || !this.isDue(holders)) return;
    this.isCopying = true;
    try {
      if (this.copiedSet < holders.number) await this.copyFromMajority(holders);
      await this.report(holders);
    } catch (error) {
      this.logger.warn('claims could not be copied yet', { reason: (error as Error).message });
    } finally {
      this.isCopying = false;
    }
  }

  private isDue(holders: HolderSet): boolean {
    return holders.previous.length > 0 && holders.current.some(({ id }) => id === this.context.id);
  }

  private async copyFromMajority(holders: HolderSet): Promise<void> {
    const results = await Promise.allSettled(
      holders.previous.map((replica) => this.copyFrom(replica, holders.number)),
    );
    const copied = results.filter(({ status }) => status === 'fulfilled').length;
    if (copied <= holders.previous.length / 2) throw new Error(`only ${copied} of ${holders.previous.length} holders answered, a majority is needed`);
    this.copiedSet = holders.number;
    this.logger.info(
      'claims copied',
      { holderSet: holders.number, claims: this.holder.table.claims.size },
    );
  }

  private async copyFrom(replica: Replica, holderSet: number, afterKey = ''): Promise<void> {
    if (replica.id === this.context.id) return;
    const reply = await this.links.find(replica.address).call<object, CopyClaimsReply>(
      (stub) => stub.copyClaims.bind(stub) as never,
      { holderSet, afterKey },
      new Operation({ timeoutMs: COPY_TIMEOUT_MS }),
    );
    if (reply.code !== 0) throw new Error(`holder "${replica.id}" has not moved to set ${holderSet} yet`);
    await this.holder.merge(reply.claims);
    if (reply.lastKey !== '') await this.copyFrom(replica, holderSet, reply.lastKey);
  }

  private async report(holders: HolderSet): Promise<void> {
    const isNew = !holders.previous.some(({ id }) => id === this.context.id);
    const address = this.context.readLeaderAddress();
    if (!isNew || address === '') return;
    await this.links.find(address).call<object, object>(
      (stub) => stub.reportCopied.bind(stub) as never,
      { holderSet: holders.number, id: this.context.id },
      new Operation({ timeoutMs: COPY_TIMEOUT_MS }),
    );
  }
}
