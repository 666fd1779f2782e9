import { setTimeout as pause } from 'node:timers/promises';
import type { ConfirmReply } from '../protocol/generated/beechlift';
import { BeechliftError } from '../errors/beechliftError';
import type { Clock } from '../utils/clock';
import { Operation } from '../utils/operation';
import type { LogRunner } from './logRunner';

/** Most milliseconds that proving leadership may take. */
const CONFIRM_TIMEOUT_MS = 700;
/** How often a reader looks whether its replica has caught up. */
const POLL_APPLIED_MS = 2;

/** What a reader needs. */
export interface ReadBarrierParts {
  readonly runner: Pick<LogRunner<true>, 'state' | 'appliedIndex' | 'confirmLeadership'>;
  readonly readLeaderAddress: () => string;
  readonly askLeader: (address: string) => Promise<ConfirmReply>;
  readonly clock: Clock;
}

/**
 * Waits until this replica holds the newest that was accepted when the wait began.
 *
 * Guards against an answer from the past: a replica that was cut off or suspended may believe that
 * it leads, or that it is up to date. The leader proves that it leads by a round that a majority
 * acknowledges, and this replica answers only once it has applied what the leader had committed.
 *
 * @example
 * await reader.waitNewest(); // throws when no majority can be asked
 */
export class ReadBarrier {
  constructor(private readonly parts: ReadBarrierParts) {}

  /** Resolves once this replica holds the newest; throws when it cannot be sure. */
  async waitUntilCurrent(): Promise<void> {
    const { confirmed, commitIndex } = await this.requestConfirmation();
    if (!confirmed) throw new BeechliftError('noQuorum', 'no majority confirmed which document is the newest');
    await this.waitApplied(commitIndex, this.startOperation());
  }

  /** Proves that this replica leads, and how far the log is committed. */
  async confirmLeadership(): Promise<ConfirmReply> {
    const { runner } = this.parts;
    const { commitIndex } = runner.state;
    const confirmed = await runner.confirmLeadership(this.startOperation());
    // What is committed by now is at least what was when the call came.
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
    if (operation.remainingMs === 0) throw new BeechliftError('noQuorum', 'this replica lags behind the newest document');
    await pause(POLL_APPLIED_MS);
    await this.waitApplied(index, operation);
  }

  private startOperation(): Operation {
    return new Operation({ timeoutMs: CONFIRM_TIMEOUT_MS, clock: this.parts.clock });
  }
}
