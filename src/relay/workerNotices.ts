import type { RoutedWorker } from '../core/routing/routedWorkers';
import { extendBackoff } from '../core/routing/workerBackoff';
import type { AnswerFacts } from './requestDialect';
import type { RequestParts } from './requestParts';

const SERVICE_UNAVAILABLE = 503;

/** The part of an answer's head in which the backend server reports its own state. */
export interface WorkerNotice extends Pick<AnswerFacts, 'restMs' | 'isLeaving'> {
  readonly status: number;
  /** The caller's id of the answered request. */
  readonly requestId: string;
}

type NoticeParts = Pick<RequestParts, 'clock' | 'metrics' | 'logger'>;

const applyBackoff = (
  { clock, metrics, logger }: NoticeParts,
  worker: RoutedWorker,
  { status, restMs, requestId }: WorkerNotice,
): void => {
  if (status !== SERVICE_UNAVAILABLE || restMs === 0) return;
  worker.backoff = extendBackoff(worker.backoff, restMs, clock.now());
  metrics.notices.inc({ notice: 'rest' });
  logger.info('backend server asked for a backoff', { requestId, worker: worker.id, restMs });
};

const applyLeaving = (
  { metrics, logger }: NoticeParts,
  worker: RoutedWorker,
  { status, isLeaving, requestId }: WorkerNotice,
): void => {
  if (!isLeaving || worker.isLeaving) return;
  worker.isLeaving = true;
  metrics.notices.inc({ notice: 'leaving' });
  logger.info('backend server reports that it is leaving', { requestId, worker: worker.id, status });
};

/**
 * Applies the state that a backend server reports in an answer, whichever request it answers.
 *
 * @example
 * applyNotice(parts, worker, { status, requestId, restMs, isLeaving });
 */
export const applyNotice = (
  parts: NoticeParts,
  worker: RoutedWorker,
  notice: WorkerNotice,
): void => {
  applyBackoff(parts, worker, notice);
  applyLeaving(parts, worker, notice);
};
