import { setTimeout as pause } from 'node:timers/promises';
import type { ConfirmReply } from '../protocol/generated/beechlift';
import { BeechliftError } from '../errors/beechliftError';
import type { Clock } from '../utils/clock';
import { Operation } from '../utils/operation';
import type { LogRunner } from './logRunner';

/** Time limit for confirming leadership, in milliseconds. */
const CONFIRM_TIMEOUT_MS = 700;
/** Interval at which a read checks whether this replica has caught up, in milliseconds. */
const POLL_APPLIED_MS = 2;

/** Dependencies of a read barrier. */
export interface ReadBarrierParts {
  readonly runner: Pick<LogRunner<true>, 'state' | 'appliedIndex' | 'confirmLeadership'>;
  readonly readLeaderAddress: () => string;
  readonly askLeader: (address: string) => Promise<ConfirmReply>;
  readonly clock: Clock;
}

/**
 * Makes reads linearizable: waits until this replica has applied everything that was accepted
 * before the read began.
 *
 * A replica that was partitioned or suspended may wrongly believe that it leads, or that it is up
 * to date, and would return stale data. So the leader confirms its leadership by a round that a
 * majority acknowledges, and this replica then applies the log up to the leader's commit index.
 *
 * @example
 * await readBarrier.waitUntilCurrent(); // throws when no majority answers
 */
export class ReadBarrier {
  constructor(private readonly parts: ReadBarrierParts) {}

  /** Resolves once this replica is up to date; throws when that cannot be confirmed in time. */
  async waitUntilCurrent(): Promise<void> {
    const { confirmed, commitIndex } = await this.requestConfirmation();
    if (!confirmed) throw new BeechliftError('noQuorum', 'no majority confirmed which document is the latest');
    await this.waitApplied(commitIndex, this.startOperation());
  }

  /** Confirms that this replica leads, and returns its commit index. */
  async confirmLeadership(): Promise<ConfirmReply> {
    const { runner } = this.parts;
    const { commitIndex } = runner.state;
    const confirmed = await runner.confirmLeadership(this.startOperation());
    // The commit index never falls, so the later value covers the time of the call too.
    return { confirmed, commitIndex: Math.max(commitIndex, runner.state.commitIndex) };
  }

  private requestConfirmation(): Promise<ConfirmReply> {
    if (this.parts.runner.state.role === 'leader') return this.confirmLeadership();
    const address = this.parts.readLeaderAddress();
    if (address === '') throw new BeechliftError('noQuorum', 'no replica leads at the moment');
    return this.parts.askLeader(address);
  }

  private async waitApplied(index: number, operation: Operation): Promise<void> {
    if (this.parts.runner.appliedIndex >= index) return;
    if (operation.remainingMs === 0) throw new BeechliftError('noQuorum', 'this replica did not catch up with the latest document in time');
    await pause(POLL_APPLIED_MS);
    await this.waitApplied(index, operation);
  }

  private startOperation(): Operation {
    return new Operation({ timeoutMs: CONFIRM_TIMEOUT_MS, clock: this.parts.clock });
  }
}
