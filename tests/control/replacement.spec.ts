import { describe, expect, it } from 'vitest';
import { planReplicaChange, startReplacement } from '../../src/control/replacement';
import { makeEmptyLog, makeLogState } from '../../src/core/log/logState';
import { handleLogEvent } from '../../src/core/log/replicatedLog';
import type { LogState, ReplicaSet } from '../../src/core/log/logTypes';
import { LogMessage } from '../../src/protocol/generated/beechlift';
import type { Replica } from '../../src/protocol/generated/beechlift';

const START_MS = 10_000;
const ROUND_MS = 75;

const makeReplica = (id: string): Replica => ({ id, address: id, zone: 'a' });
const newcomer = makeReplica('c4');

const listIds = (replicas: readonly Replica[] = []): string => replicas.map(({ id }) => id).join(' ');

/** Leader c1 of three voters, of which c3 is gone; the other replicas answer at once. */
class Leader {
  now = START_MS;

  readonly state: LogState;

  readonly silent = new Set(['c3']);

  constructor() {
    const voters = ['c1', 'c2', 'c3'].map(makeReplica);
    this.state = makeLogState('c1', makeEmptyLog({ voters, learners: [], leaving: [] }), () => 0.5, 0);
    this.run(1);
  }

  change(replicas: ReplicaSet | undefined): void {
    if (replicas) this.handle({ kind: 'changeReplicas', replicas });
    this.run(4);
  }

  run(rounds: number): void {
    Array.from({ length: rounds }).forEach(() => {
      this.now += ROUND_MS;
      this.handle({ kind: 'tick' });
    });
  }

  get isCommitted(): boolean {
    return this.state.commitIndex === this.state.entries.length;
  }

  private handle(event: Parameters<typeof handleLogEvent>[1]): void {
    const effects = handleLogEvent(this.state, event, this.now);
    const last = effects.flatMap((effect) => (effect.kind === 'persist' ? effect.entries : [])).at(-1);
    if (last) this.handle({ kind: 'synced', index: last.index, term: last.term });
    effects.forEach((effect) => {
      if (effect.kind === 'send') this.answer(effect.message);
    });
  }

  private answer(message: LogMessage): void {
    if (this.silent.has(message.to)) return;
    const matchIndex = message.lastIndex + message.entries.length;
    this.handle({
      kind: 'message',
      message: LogMessage.fromPartial({
        kind: `${message.kind}Reply`, from: message.to, to: 'c1', term: message.term, round: message.round, granted: true, matchIndex,
      }),
    });
  }
}

/** Starts the replacement of c3, and lets the newcomer catch up. */
const replaceGone = (): Leader => {
  const leader = new Leader();
  leader.change(startReplacement(leader.state.replicas, 'c3', newcomer));
  return leader;
};

describe('the replacement of a control replica', () => {
  // A voter was gone, its successor was lost as it began to vote, and nothing could be committed:
  // three of four voters were needed.
  it('should need no replica but the remaining ones until it is complete', () => {
    const leader = replaceGone();
    const next = planReplicaChange(leader.state, leader.now);
    leader.silent.add('c4');
    leader.change(next);
    expect([listIds(next?.voters), leader.isCommitted]).toEqual(['c1 c2 c4', true]);
    leader.change(planReplicaChange(leader.state, leader.now));
    const { voters, previousVoters } = leader.state.replicas;
    expect([listIds(voters), listIds(previousVoters), leader.isCommitted])
      .toEqual(['c1 c2 c4', '', true]);
    expect(planReplicaChange(leader.state, leader.now)).toBeUndefined();
  });

  // Guards against a successor that has caught up once and is lost: it would vote while it is down.
  it('should not let a replica vote that no longer answers', () => {
    const leader = replaceGone();
    leader.silent.add('c4');
    leader.run(8);
    expect(planReplicaChange(leader.state, leader.now)).toBeUndefined();
    leader.silent.delete('c4');
    leader.run(2);
    expect(listIds(planReplicaChange(leader.state, leader.now)?.voters)).toBe('c1 c2 c4');
  });
});
