import { ROOT_CONTEXT } from '@opentelemetry/api';
import { describe, expect, it } from 'vitest';
import { ActiveTable } from '../../src/entry/callers/activeTable';
import type { CallerRequest } from '../../src/entry/callers/callerRequest';
import { PoolOwner } from '../../src/entry/choosing/poolOwner';
import type { Scheduler } from '../../src/entry/choosing/scheduler';
import { SlotClient } from '../../src/entry/choosing/slotClient';
import { BeechliftError } from '../../src/errors/beechliftError';
import { AskRequest, ReportRequest } from '../../src/protocol/generated/beechlift';
import { HopTracer } from '../../src/telemetry/tracing';
import { Operation } from '../../src/utils/operation';
import { announce, makeTables } from '../core/scheduleModel';

const REQUEST = {
  id: 'r1', pool: 'engines', target: 'guide', tier: 'door', account: 'a', promptTokens: 100, maxTokens: 20, deadlineMs: 5_000, prefixes: [],
} as unknown as CallerRequest;

const makeOwner = (): PoolOwner => {
  const tables = makeTables();
  announce(tables, 'w1', 1, 0);
  return new PoolOwner(tables, { now: () => 0 }, () => undefined);
};

/** Passes asks and reports to an owner. Each reply is lost, because its call is cancelled first. */
const makeCancellingScheduler = (owner: PoolOwner): Scheduler => {
  const askNumber = 1;
  return {
    ask: async (askFields: object, operation: Operation) => {
      await owner.ask(AskRequest.fromPartial({ ...askFields, askNumber }));
      operation.cancel('an earlier attempt is taken up');
      throw new BeechliftError('callerGone', 'the caller is gone');
    },
    report: (fields: object) => owner.report(ReportRequest.fromPartial({ ...fields, askNumber })),
  } as unknown as Scheduler;
};

describe('a slot that an entry asks for', () => {
  // A grant that crosses the cancellation of its ask is never used, so its slot must be released.
  it('should be free again when its grant crosses the cancellation of the ask', async () => {
    const owner = makeOwner();
    const slots = new SlotClient('e1', 'a', makeCancellingScheduler(owner), new ActiveTable(), new HopTracer('entry/e1', ''), () => 1);
    const operation = new Operation({ timeoutMs: 5_000 });
    await expect(slots.acquire(REQUEST, operation, ROOT_CONTEXT)).rejects.toThrow('gone');
    expect([owner.tables.running.size, owner.tables.waiting.size]).toEqual([0, 0]);
  });
});
