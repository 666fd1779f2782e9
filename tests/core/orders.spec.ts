import { describe, expect, it } from 'vitest';
import { handleScheduleEvent } from '../../src/core/schedule/poolSchedule';
import type { ScheduleConfig, ScheduleTables } from '../../src/core/schedule/scheduleTypes';
import {
  announce, ask, config, finish, listKinds, makeTables,
} from './scheduleModel';

const makeConfig = (modelVersion: string, checksFencing = true): ScheduleConfig => ({
  ...config,
  models: { guide: { contextTokens: 1_000, adapters: ['ro'], modelVersion } },
  pools: {
    engines: {
      kind: 'model', role: 'worker', models: ['guide'], services: [], secretHash: '', checksFencing,
    },
  },
});

const LOAD_MS = 1_000;

const makePool = (settledAt = -LOAD_MS, checksFencing = true): ScheduleTables => (
  makeTables([], settledAt, makeConfig('1', checksFencing))
);

const tick = (tables: ScheduleTables, now: number) => (
  listKinds(handleScheduleEvent(tables, { kind: 'tick' }, now))
);

const readDesiredDigest = (tables: ScheduleTables): string => tables.orders.desired?.digest ?? '';

const announceWithOrders = (
  tables: ScheduleTables,
  id: string,
  now: number,
  orderDigest = '',
  fields: object = {},
) => announce(tables, id, 4, now, { abilities: ['orders'], orderDigest, ...fields });

describe('orders to backend servers', () => {
  /*
   * Guards against updating all engines to a new model version at the same time, which leaves no
   * engine that serves the model. Only one engine at a time may be out of service, and the next
   * follows when it is back.
   */
  it('should roll out to a pool and never drain the last ready worker', () => {
    const tables = makePool();
    announceWithOrders(tables, 'g1', 0);
    expect([tick(tables, 10), tick(tables, 20)]).toEqual([[], []]);
    ['g2', 'g3'].forEach((id) => announceWithOrders(tables, id, 100));
    expect([tick(tables, 110), tick(tables, 120)]).toEqual([[], ['order g1']]);
    announceWithOrders(tables, 'g1', 200, '', { models: [] });
    expect([tick(tables, 1_500), tick(tables, 1_600)]).toEqual([[], []]);
    announceWithOrders(tables, 'g1', 1_700, readDesiredDigest(tables));
    expect([tick(tables, 1_710), tick(tables, 1_720)]).toEqual([[], ['order g2']]);
  });

  /*
   * Guards against interrupting running answers by an order to load another version. The engine
   * must receive no new requests first, and the order only when all requests on it have ended,
   * including those of other systems.
   */
  it('should send an order only to an idle worker', () => {
    const tables = makePool();
    announceWithOrders(tables, 'g1', 0, '', { hardware: 'fast' });
    ask(tables, 'long', 'history', 10);
    announceWithOrders(tables, 'g2', 20);
    expect(tick(tables, 30)).toEqual([]);
    expect(tables.workers.get('g1')?.orderPhase).toBe('draining');
    ask(tables, 'next', 'history', 40);
    expect(tables.running.get('next')?.workerId).toBe('g2');
    expect(tick(tables, 50)).toEqual([]);
    finish(tables, 'long', 60);
    announceWithOrders(tables, 'g1', 70, '', { running: 2 });
    expect(tick(tables, 80)).toEqual([]);
    announceWithOrders(tables, 'g1', 90);
    expect(tick(tables, 100)).toEqual(['order g1']);
  });

  /*
   * Guards against waiting requests without any serving engine: the other engine fails while this
   * one is draining for an order. This one must return to service at once.
   */
  it('should return a worker to service when it became the last one of its model', () => {
    const tables = makePool();
    announceWithOrders(tables, 'g1', 0);
    ask(tables, 'long', 'history', 10);
    announceWithOrders(tables, 'g2', 20);
    tick(tables, 30);
    announceWithOrders(tables, 'g2', 40, '', { state: 'leaving' });
    tick(tables, 50);
    ask(tables, 'next', 'door', 60);
    expect(tables.running.get('next')?.workerId).toBe('g1');
  });

  /*
   * Guards against an order of an earlier owner that arrives after one of the new owner, so that
   * the engine loads an outdated state. Engines that ignore the fencing number receive no order
   * until orders of the earlier owner can no longer arrive.
   */
  it('should wait for the orders of the earlier owner when engines ignore the fencing number', () => {
    const [fenced, unfenced] = [makePool(5_000), makePool(5_000, false)];
    [fenced, unfenced].forEach((tables) => ['g1', 'g2'].forEach((id) => announceWithOrders(tables, id, 4_000)));
    const order = (tables: ScheduleTables, now: number) => (
      [tick(tables, now), tick(tables, now + 1)]);
    expect(order(fenced, 5_000 + LOAD_MS - 2)).toEqual([[], []]);
    expect(order(fenced, 5_000 + LOAD_MS)).toEqual([[], ['order g1']]);
    expect(order(unfenced, 6_990)).toEqual([[], []]);
    ['g1', 'g2'].forEach((id) => announceWithOrders(unfenced, id, 6_995));
    expect(order(unfenced, 7_000)).toEqual([[], ['order g1']]);
  });

  /*
   * Guards against orders of an owner that lost its pool without noticing: the engine has seen a
   * higher fencing number and reports it. No more orders may be sent until a new view confirms this
   * owner.
   */
  it('should send no more orders once a server has seen a higher fencing number', () => {
    const tables = makePool();
    ['g1', 'g2'].forEach((id) => announceWithOrders(tables, id, 0));
    tick(tables, 10);
    expect(tick(tables, 20)).toEqual(['order g1']);
    handleScheduleEvent(tables, { kind: 'orderAnswered', result: 'outbid' }, 30);
    ['g1', 'g2'].forEach((id) => announceWithOrders(tables, id, 6_000));
    expect(tick(tables, 6_010)).toEqual([]);
    handleScheduleEvent(tables, { kind: 'membersChanged', entryIds: ['e1'] }, 6_020);
    expect(tick(tables, 7_000)).toEqual([]);
    ['g1', 'g2'].forEach((id) => announceWithOrders(tables, id, 8_000));
    expect(tick(tables, 8_030)).toEqual(['order g1']);
  });

  /*
   * An order or its answer may be lost, and an engine may restart without any model loaded. The
   * order is repeated until the engine reports the desired state. A new load waits until the limit
   * of the weight store allows it.
   */
  it('should repeat lost orders and respect the limit of the weight store', () => {
    const tables = makePool();
    ['g1', 'g2'].forEach((id) => announceWithOrders(tables, id, 0));
    tick(tables, 10);
    expect(tick(tables, 20)).toEqual(['order g1']);
    announceWithOrders(tables, 'g1', 3_000);
    expect([tick(tables, 5_010), tick(tables, 5_020)]).toEqual([[], ['order g1']]);
    handleScheduleEvent(tables, {
      kind: 'configure',
      config: { ...makeConfig('2'), limits: { ...config.limits, loadsPerMinute: 3 } },
    }, 5_030);
    expect(tick(tables, 10_030)).toEqual(['order g1']);
    handleScheduleEvent(tables, { kind: 'configure', config: makeConfig('3') }, 10_040);
    expect([tick(tables, 16_000), tick(tables, 30_030)]).toEqual([[], ['order g1']]);
  });
});
