import { computeLoadIntervalMs, MAX_ORDER_DELAY_MS } from './orderState';
import { updateIndex } from './workerIndex';
import type {
  DesiredState, OrderResult, ScheduleStep, ScheduleTables, WorkerEntity, OrderPhase,
} from './scheduleTypes';

/** An order that was not carried out is sent again, milliseconds. */
const ORDER_RETRY_MS = 5_000;
/** A worker that does not get idle goes back to work, milliseconds. */
const DRAIN_TIMEOUT_MS = 120_000;
/** Share of a pool that may be out of work for orders at once; one worker at least. */
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
 * Guards against a model in use that nobody carries: a worker is taken out of work only while
 * another ready one carries each of the models that it serves and that are still wanted.
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

const isIdle = (worker: WorkerEntity): boolean => worker.running.size === 0 && worker.externalRequests === 0;

/**
 * Waits for the answers that run there, ours and others', so that an order cuts none of them. One
 * that the others' failures made the last of its models goes back to work.
 */
const orderWhenIdle: OrderPhaseHandler = (step, worker, desired) => {
  const isNeeded = isLastReady(step.tables, worker, desired);
  const isTooLong = !isIdle(worker) && step.now - worker.orderPhaseAt >= DRAIN_TIMEOUT_MS;
  if (isNeeded || isTooLong) setOrderPhase(step, worker, 'serving');
  else if (isIdle(worker) && tryReserveLoad(step)) startLoad(step, worker, desired);
};

/** An order that was lost is repeated; it tells the whole state, so that it may arrive twice. */
const retryOrder: OrderPhaseHandler = (step, worker, desired) => {
  if (step.now - worker.orderedAt < ORDER_RETRY_MS) return;
  if (worker.orderedDigest === desired.digest || tryReserveLoad(step)) sendOrder(step, worker, desired);
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
  const changing = workers.filter(({ orderPhase: orderPhase }) => orderPhase !== 'serving').length;
  if (changing >= Math.max(1, Math.floor(workers.length * MAX_CHANGING_SHARE))) return;
  const next = workers
    .filter((worker) => worker.acceptsOrders && isReady(worker) && worker.reportedDigest !== desired.digest)
    .sort((a, b) => a.orderPhaseAt - b.orderPhaseAt)
    .find((worker) => !isLastReady(tables, worker, desired));
  if (next) setOrderPhase(step, next, 'draining');
};

/**
 * Rolls what the manifest wants through the pool: takes workers out of work one after the other,
 * waits until they are idle, orders, and puts each back once it says that it carries the state.
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

/*
 * Guards against an owner that lost its pool and does not know it yet: a server that has seen a
 * higher fencing number says so, and nothing more is ordered until a new view names this owner.
 */
export const handleOrderAnswer = ({ tables }: ScheduleStep, result: OrderResult): void => {
  if (result === 'outbid') tables.orders.allowedAt = Infinity;
};

/** A new view that still names this owner lets it order again. */
export const handleNewView = ({ tables, now }: ScheduleStep): void => {
  if (tables.orders.allowedAt === Infinity) tables.orders.allowedAt = now + MAX_ORDER_DELAY_MS;
};
