import type { RoutedWorker } from '../core/routing/routedWorkers';
import { extendBackoff } from '../core/routing/workerBackoff';
import { isRateLimited, recordNamedRate } from '../core/routing/workerRateLimit';
import type { AnswerFacts } from './requestDialect';
import type { RequestParts } from './requestParts';

const SERVICE_UNAVAILABLE = 503;
const MISDIRECTED = 421;

/** The part of an answer's head in which the backend server reports its own state. */
export interface WorkerNotice extends Pick<AnswerFacts, | 'restMs' | 'isLeaving' | 'limitPerSecond' | 'turnAwayLimit'> {
  readonly status: number;
  /** The caller's id of the answered request. */
  readonly requestId: string;
  /** When the request was sent, monotonic milliseconds. */
  readonly sentAt: number;
}

type NoticeParts = Pick<RequestParts, 'clock' | 'metrics' | 'logger' | 'site' | 'reportState'>;

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

const applyRateLimit = (
  {
    clock, metrics, logger, site, reportState,
  }: NoticeParts,
  worker: RoutedWorker,
  {
    status, limitPerSecond, requestId, sentAt,
  }: WorkerNotice,
): void => {
  // A misdirected request was answered by another server, and an unreadable limit says nothing.
  if (status === MISDIRECTED || Number.isNaN(limitPerSecond)) return;
  if (limitPerSecond === 0 && !isRateLimited(worker)) return;
  const isUrgent = recordNamedRate(worker, limitPerSecond, sentAt, site.rateSharing, clock.now());
  if (!isUrgent) return;
  metrics.notices.inc({ notice: 'limit' });
  logger.info('backend server named a rate limit', { requestId, worker: worker.id, limitPerSecond });
  reportState();
};

const applyBrittleness = (
  {
    clock, metrics, logger, site,
  }: NoticeParts,
  worker: RoutedWorker,
  {
    status, turnAwayLimit, requestId, sentAt,
  }: WorkerNotice,
): void => {
  if (status === MISDIRECTED || Number.isNaN(turnAwayLimit)) return;
  if (!site.brittleServices.record(worker.service, turnAwayLimit, sentAt, clock.now())) return;
  metrics.notices.inc({ notice: 'brittle' });
  logger.info('backend server is brittle, the leader places the requests of its service', {
    requestId, worker: worker.id, service: worker.service, turnAwayLimit,
  });
};

/**
 * Applies the state that a backend server reports in an answer, whichever request it answers.
 *
 * @example
 * applyNotice(parts, worker, { ...answer, status, requestId, sentAt });
 */
export const applyNotice = (
  parts: NoticeParts,
  worker: RoutedWorker,
  notice: WorkerNotice,
): void => {
  applyBackoff(parts, worker, notice);
  applyLeaving(parts, worker, notice);
  applyRateLimit(parts, worker, notice);
  applyBrittleness(parts, worker, notice);
};
