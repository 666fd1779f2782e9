import { computeLoadMs, ORDER_FLIGHT_MS } from './orderBook';
import { updateIndex } from './workerIndex';
import type {
  DesiredState, OrderResult, ScheduleStep, ScheduleTables, WorkerEntity, WorkerTurn,
} from './scheduleTypes';

/** An order that was not carried out is sent again, milliseconds. */
const REPEAT_MS = 5_000;
/** A worker that does not get idle goes back to work, milliseconds. */
const DRAIN_MS = 120_000;
/** Share of a pool that may be out of work for orders at once; one worker at least. */
const TURNING_SHARE = 0.1;

const setTurn = (step: ScheduleStep, worker: WorkerEntity, turn: WorkerTurn): void => {
  worker.turn = turn;
  worker.turnAt = step.now;
  updateIndex(step.tables.index, worker);
};

const isReady = (worker: WorkerEntity): boolean => (
  !worker.leaving && worker.reach === 'reached' && worker.turn === 'serving'
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
  worker.ordered = desired.digest;
  worker.orderedAt = step.now;
  step.effects.push({
    kind: 'order', workerId: worker.id, workerAddress: worker.address, desired,
  });
};

const takeLoad = ({ tables, now }: ScheduleStep): boolean => {
  const { orders } = tables;
  if (now < orders.nextLoadAt) return false;
  orders.nextLoadAt = now + computeLoadMs(tables);
  return true;
};

const startLoad = (step: ScheduleStep, worker: WorkerEntity, desired: DesiredState): void => {
  setTurn(step, worker, 'loading');
  sendOrder(step, worker, desired);
};

type TurnStep = (step: ScheduleStep, worker: WorkerEntity, desired: DesiredState) => void;

const isIdle = (worker: WorkerEntity): boolean => worker.running.size === 0 && worker.foreign === 0;

/**
 * Waits for the answers that run there, ours and others', so that an order cuts none of them. One
 * that the others' failures made the last of its models goes back to work.
 */
const orderWhenIdle: TurnStep = (step, worker, desired) => {
  const isNeeded = isLastReady(step.tables, worker, desired);
  const isTooLong = !isIdle(worker) && step.now - worker.turnAt >= DRAIN_MS;
  if (isNeeded || isTooLong) setTurn(step, worker, 'serving');
  else if (isIdle(worker) && takeLoad(step)) startLoad(step, worker, desired);
};

/** An order that was lost is repeated; it tells the whole state, so that it may arrive twice. */
const repeatOrder: TurnStep = (step, worker, desired) => {
  if (step.now - worker.orderedAt < REPEAT_MS) return;
  if (worker.ordered === desired.digest || takeLoad(step)) sendOrder(step, worker, desired);
};

const turnSteps: Readonly<Record<WorkerTurn, TurnStep>> = {
  serving: () => undefined,
  draining: orderWhenIdle,
  loading: repeatOrder,
};

const advanceWorker = (
  step: ScheduleStep,
  worker: WorkerEntity,
  desired: DesiredState,
): void => {
  const isDone = worker.turn !== 'serving' && worker.carries === desired.digest;
  if (isDone) setTurn(step, worker, 'serving');
  else turnSteps[worker.turn](step, worker, desired);
};

const startNext = (step: ScheduleStep, desired: DesiredState): void => {
  const { tables, now } = step;
  if (now < tables.orders.nextLoadAt) return;
  const workers = [...tables.workers.values()];
  const turning = workers.filter(({ turn }) => turn !== 'serving').length;
  if (turning >= Math.max(1, Math.floor(workers.length * TURNING_SHARE))) return;
  const next = workers
    .filter((worker) => worker.canOrder && isReady(worker) && worker.carries !== desired.digest)
    .sort((a, b) => a.turnAt - b.turnAt)
    .find((worker) => !isLastReady(tables, worker, desired));
  if (next) setTurn(step, next, 'draining');
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
  if (!desired || policy.name !== 'owner' || step.now < orders.from) return;
  workers.forEach((worker) => advanceWorker(step, worker, desired));
  startNext(step, desired);
};

/*
 * Guards against an owner that lost its pool and does not know it yet: a server that has seen a
 * higher fencing number says so, and nothing more is ordered until a new view names this owner.
 */
export const handleOrderAnswer = ({ tables }: ScheduleStep, result: OrderResult): void => {
  if (result === 'outbid') tables.orders.from = Infinity;
};

/** A new view that still names this owner lets it order again. */
export const noteNewView = ({ tables, now }: ScheduleStep): void => {
  if (tables.orders.from === Infinity) tables.orders.from = now + ORDER_FLIGHT_MS;
};
