import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { PoolOwner } from '../../src/entry/choosing/poolOwner';
import { resultCodes } from '../../src/errors/resultCodes';
import { AskRequest, ReportRequest } from '../../src/protocol/generated/beechlift';
import type { AskReply } from '../../src/protocol/generated/beechlift';
import { announce, makeTables } from '../core/scheduleModel';

const makeAsk = (requestId: string, askNumber: number) => AskRequest.fromPartial({
  requestId, askNumber, tier: 'door', account: 'a', target: 'guide', entryId: 'e1', promptTokens: 100, maxTokens: 20, deadlineMs: 5_000,
});

/** Holds the reply to an ask; undefined while it waits. */
const watchReply = (asked: Promise<AskReply>): { reply: AskReply | undefined } => {
  const seen: { reply: AskReply | undefined } = { reply: undefined };
  asked.then((reply) => {
    seen.reply = reply;
  }).catch(() => undefined);
  return seen;
};

const settle = () => new Promise((resolve) => {
  setImmediate(resolve);
});

describe('the owner of a pool, asked more than once for a request', () => {
  let owner: PoolOwner;

  beforeEach(() => {
    const tables = makeTables();
    announce(tables, 'w1', 1, 0);
    owner = new PoolOwner(tables, { now: () => 0 }, () => undefined);
  });

  /*
   * The owner granted a slot, but the connection was closed before the reply arrived, for example
   * because of a missed ping on a busy machine. The entry asks again. If the owner treated the
   * request as running already, it would not answer before the caller's timeout.
   */
  it('should grant a request again when the first grant was lost', async () => {
    const lost = watchReply(owner.ask(makeAsk('r1', 1)));
    await settle();
    expect(lost.reply?.workerId).toBe('w1');
    const again = watchReply(owner.ask(makeAsk('r1', 2)));
    await settle();
    expect(again.reply).toMatchObject({ code: 0, workerId: 'w1' });
    expect([owner.tables.running.size, owner.tables.waiting.size]).toEqual([1, 0]);
  });

  /*
   * The connection is closed while the request waits. The entry asks again over a new one, and the
   * owner receives the cancellation of the first call only afterwards. If that dropped the request,
   * the second ask would never be answered.
   */
  it('should keep a request that was asked for again when the earlier call is cancelled late', async () => {
    await owner.ask(makeAsk('holder', 1));
    const cancelled = makeAsk('r1', 2);
    const first = watchReply(owner.ask(cancelled));
    const second = watchReply(owner.ask(makeAsk('r1', 3)));
    owner.drop(cancelled);
    await settle();
    // The first ask is resolved as well, although its reply is not used.
    expect(first.reply?.code).toBe(resultCodes.ownerMoved.number);
    expect(second.reply).toBeUndefined();
    owner.report(ReportRequest.fromPartial({
      requestId: 'holder', phase: 'finished', outcome: 'complete', askNumber: 3,
    }));
    await settle();
    expect(second.reply).toMatchObject({ code: 0, workerId: 'w1' });
  });

  /*
   * The report of a dispatch that could not be sent arrives late, after its entry has asked for
   * another slot. The report must not release the slot that was granted since.
   */
  it('should not end a newer grant because of a report on the earlier one', async () => {
    await owner.ask(makeAsk('r1', 1));
    await owner.ask(makeAsk('r1', 2));
    owner.report(ReportRequest.fromPartial({
      requestId: 'r1', phase: 'finished', outcome: 'failed', askNumber: 1,
    }));
    expect(owner.tables.running.size).toBe(1);
    owner.report(ReportRequest.fromPartial({
      requestId: 'r1', phase: 'finished', outcome: 'complete', askNumber: 2,
    }));
    expect(owner.tables.running.size).toBe(0);
  });

  it('should keep a newer ask pending when an older one arrives late', async () => {
    await owner.ask(makeAsk('holder', 1));
    const newer = watchReply(owner.ask(makeAsk('r1', 3)));
    const older = watchReply(owner.ask(makeAsk('r1', 2)));
    await settle();
    expect(older.reply?.code).toBe(resultCodes.ownerMoved.number);
    expect(newer.reply).toBeUndefined();
    expect(owner.tables.waiting.size).toBe(1);
  });
});
