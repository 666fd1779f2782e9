import { computeLoadIntervalMs, MAX_ORDER_DELAY_MS } from './orderState';
import { updateIndex } from './workerIndex';
import type {
  DesiredState, OrderResult, ScheduleStep, ScheduleTables, WorkerEntity, OrderPhase,
} from './scheduleTypes';

/** Time after which an order that was not carried out is sent again, in milliseconds. */
const ORDER_RETRY_MS = 5_000;
/** Milliseconds after which a draining worker that is still busy is put back into service. */
const DRAIN_TIMEOUT_MS = 120_000;
/** Maximum share of a pool that is out of service for orders at once; at least one worker. */
const MAX_CHANGING_SHARE = 0.1;

const setOrderPhase = (step: ScheduleStep, worker: WorkerEntity, phase: OrderPhase): void => {
  worker.orderPhase = phase;
  worker.orderPhaseAt = step.now;
  updateIndex(step.tables.index, worker);
};

const isReady = (worker: WorkerEntity): boolean => (
  !worker.leaving && worker.reach === 'reached' && worker.orderPhase === 'serving'
);

/*
 * Guards against a model that no worker serves: a worker is taken out of service only if each of
 * its models that is still desired is also served by another ready worker.
 */
const isLastReady = (
  { workers }: ScheduleTables,
  worker: WorkerEntity,
  desired: DesiredState,
): boolean => {
  const others = [...workers.values()].filter((other) => other !== worker && isReady(other));
  return desired.models
    .filter(({ name }) => worker.targets.includes(name))
    .some(({ name }) => !others.some(({ targets }) => targets.includes(name)));
};

const sendOrder = (step: ScheduleStep, worker: WorkerEntity, desired: DesiredState): void => {
  worker.orderedDigest = desired.digest;
  worker.orderedAt = step.now;
  step.effects.push({
    kind: 'order', workerId: worker.id, workerAddress: worker.address, desired,
  });
};

const tryReserveLoad = ({ tables, now }: ScheduleStep): boolean => {
  const { orders } = tables;
  if (now < orders.nextLoadAt) return false;
  orders.nextLoadAt = now + computeLoadIntervalMs(tables);
  return true;
};

const startLoad = (step: ScheduleStep, worker: WorkerEntity, desired: DesiredState): void => {
  setOrderPhase(step, worker, 'loading');
  sendOrder(step, worker, desired);
};

type OrderPhaseHandler = (step: ScheduleStep, worker: WorkerEntity, desired: DesiredState) => void;

const isIdle = (worker: WorkerEntity): boolean => worker.running.size === 0
  && worker.externalRequests === 0;

/**
 * Sends the order once no request runs on the worker, own or external, so that the order interrupts
 * none. Puts the worker back into service if it has become the last ready worker of one of its
 * models, or if it is still busy after the drain timeout.
 */
const orderWhenIdle: OrderPhaseHandler = (step, worker, desired) => {
  const isNeeded = isLastReady(step.tables, worker, desired);
  const hasTimedOut = !isIdle(worker) && step.now - worker.orderPhaseAt >= DRAIN_TIMEOUT_MS;
  if (isNeeded || hasTimedOut) setOrderPhase(step, worker, 'serving');
  else if (isIdle(worker) && tryReserveLoad(step)) startLoad(step, worker, desired);
};

/** Sends a lost order again. An order contains the whole state, so it may arrive twice. */
const retryOrder: OrderPhaseHandler = (step, worker, desired) => {
  if (step.now - worker.orderedAt < ORDER_RETRY_MS) return;
  if (
    worker.orderedDigest === desired.digest || tryReserveLoad(step)
  ) sendOrder(step, worker, desired);
};

const orderPhaseHandlers: Readonly<Record<OrderPhase, OrderPhaseHandler>> = {
  serving: () => undefined,
  draining: orderWhenIdle,
  loading: retryOrder,
};

const advanceOrderPhase = (
  step: ScheduleStep,
  worker: WorkerEntity,
  desired: DesiredState,
): void => {
  const isDone = worker.orderPhase !== 'serving' && worker.reportedDigest === desired.digest;
  if (isDone) setOrderPhase(step, worker, 'serving');
  else orderPhaseHandlers[worker.orderPhase](step, worker, desired);
};

const startNextDrain = (step: ScheduleStep, desired: DesiredState): void => {
  const { tables, now } = step;
  if (now < tables.orders.nextLoadAt) return;
  const workers = [...tables.workers.values()];
  const changing = workers.filter(({ orderPhase }) => orderPhase !== 'serving').length;
  if (changing >= Math.max(1, Math.floor(workers.length * MAX_CHANGING_SHARE))) return;
  const next = workers
    .filter((worker) => worker.acceptsOrders
      && isReady(worker)
      && worker.reportedDigest !== desired.digest)
    .sort((a, b) => a.orderPhaseAt - b.orderPhaseAt)
    .find((worker) => !isLastReady(tables, worker, desired));
  if (next) setOrderPhase(step, next, 'draining');
};

/**
 * Rolls the desired state out to the pool: drains workers, at most a small share at a time, sends
 * the order once they are idle, and puts each back into service when it reports the desired state.
 *
 * @example
 * runOrderSystem(step);
 */
export const runOrderSystem = (step: ScheduleStep): void => {
  const { orders, workers, policy } = step.tables;
  const { desired } = orders;
  if (!desired || policy.name !== 'owner' || step.now < orders.allowedAt) return;
  workers.forEach((worker) => advanceOrderPhase(step, worker, desired));
  startNextDrain(step, desired);
};

/**
 * Handles the result of an order.
 *
 * Guards against an owner that lost its pool without noticing: a server that has seen a higher
 * fencing number reports it, and no more orders are sent until a new view confirms this owner.
 */
export const handleOrderAnswer = ({ tables }: ScheduleStep, result: OrderResult): void => {
  if (result === 'outbid') tables.orders.allowedAt = Infinity;
};

/** Allows orders again after a new view that still names this owner. */
export const handleNewView = ({ tables, now }: ScheduleStep): void => {
  if (tables.orders.allowedAt === Infinity) tables.orders.allowedAt = now + MAX_ORDER_DELAY_MS;
};
