import { makeLogState } from '../../src/core/log/logState';
import { handleLogEvent } from '../../src/core/log/replicatedLog';
import type { LogEffect, LogState, StoredLog } from '../../src/core/log/logTypes';
import type { LogMessage } from '../../src/protocol/generated/beechlift';

const TICK_MS = 25;
const STEP_MS = 5;
/** Size of a message without entries, in bytes. */
const HEAD_BYTES = 200;
/** Time limit of a call that carries a message, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

interface Transfer { readonly message: LogMessage; readonly sentAt: number; bytesLeft: number }

const countBytes = ({ entries, chunk }: LogMessage): number => HEAD_BYTES + chunk.length
  + entries.reduce((sum, { command }) => sum + command.length, 0);

/**
 * A leader, two followers and a learner with an empty log. The messages to the learner share a link
 * of limited throughput, as calls on one connection do, and are lost if they take too long.
 */
export class CatchUpModel {
  /** Bytes of all messages to the learner. */
  bytesSent = 0;

  private now = 10_000;

  private readonly leader: LogState;

  private readonly others: readonly LogState[];

  private transfers: Transfer[] = [];

  private sendCount = 0;

  /** @param isLost whether the message to the learner with a given number is lost */
  constructor(
    private readonly stored: StoredLog,
    private readonly bytesPerMs: number,
    private readonly isLost: (count: number) => boolean = () => false,
  ) {
    const { voters } = stored.snapshot.replicas;
    const [leader, ...followers] = voters.map(({ id }) => this.makeReplica(id, stored));
    const empty = {
      ...stored,
      entries: [],
      snapshot: {
        ...stored.snapshot, index: 0, term: 0, data: '',
      },
    };
    this.leader = leader as LogState;
    this.others = [...followers, this.makeReplica('c3', empty)];
    this.leader.electionAt = 0;
  }

  /** Runs until the learner has the leader's log; returns whether it did within `maxMs`. */
  runUntilCaughtUp(maxMs: number): boolean {
    const endsAt = this.now + maxMs;
    while (this.now < endsAt && !this.hasCaughtUp()) this.runStep();
    return this.hasCaughtUp();
  }

  private makeReplica(id: string, stored: StoredLog): LogState {
    return makeLogState(id, stored, () => 0.5, 0);
  }

  private hasCaughtUp(): boolean {
    const learner = this.others.at(-1);
    return this.leader.role === 'leader' && this.leader.commitIndex > this.stored.snapshot.index
      && learner?.commitIndex === this.leader.commitIndex;
  }

  private runStep(): void {
    this.now += STEP_MS;
    if (this.now % TICK_MS === 0) this.handle(this.leader, { kind: 'tick' });
    const share = (this.bytesPerMs * STEP_MS) / Math.max(1, this.transfers.length);
    this.transfers.forEach((transfer) => {
      transfer.bytesLeft -= share;
    });
    const arrived = this.transfers.filter(({ bytesLeft }) => bytesLeft <= 0);
    this.transfers = this.transfers.filter(({ bytesLeft, sentAt }) => (
      bytesLeft > 0 && this.now - sentAt < CALL_TIMEOUT_MS));
    arrived.forEach(({ message }) => this.deliver(message));
  }

  private handle(replica: LogState, event: Parameters<typeof handleLogEvent>[1]): void {
    const effects = handleLogEvent(replica, event, this.now);
    effects.forEach((effect) => this.perform(replica, effect));
  }

  private perform(replica: LogState, effect: LogEffect): void {
    if (effect.kind === 'send') this.send(effect.message);
    if (effect.kind !== 'persist') return;
    const last = effect.entries.at(-1);
    if (last) this.handle(replica, { kind: 'synced', index: last.index, term: last.term });
  }

  private send(message: LogMessage): void {
    if (message.to !== 'c3') {
      this.deliver(message);
      return;
    }
    this.sendCount += 1;
    const bytes = countBytes(message);
    this.bytesSent += bytes;
    if (!this.isLost(this.sendCount)) {
      this.transfers.push({ message, sentAt: this.now, bytesLeft: bytes });
    }
  }

  private deliver(message: LogMessage): void {
    const replica = [this.leader, ...this.others].find(({ id }) => id === message.to);
    if (replica) this.handle(replica, { kind: 'message', message });
  }
}
