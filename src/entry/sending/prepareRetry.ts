import { BeechliftError } from '../../errors/beechliftError';
import type { Metrics } from '../../telemetry/metrics';
import type { RequestJob } from '../callers/requestJob';
import type { RetryBudget } from './retryBudget';

const MAX_ATTEMPTS = 3;

/** What `prepareRetry` needs to decide whether a request may be retried. */
export interface PrepareRetryParts {
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  readonly isServing: () => boolean;
}

/**
 * Prepares the retry of a request after a dispatch that provably did no work: releases its claim,
 * consumes one retry from the budget and acquires the claim again. Throws the final error when no
 * retry is allowed.
 *
 * @example
 * await prepareRetry(parts, job, 'backend server "g1" could not be reached');
 */
export const prepareRetry = async (
  { budget, metrics, isServing }: PrepareRetryParts,
  job: RequestJob,
  reason: string,
): Promise<void> => {
  job.waitOperation = job.makeWaitOperation();
  job.waitOperation.recordStep(reason);
  job.unexecutedDispatches += 1;
  const releaseFailure = await job.claim.release();
  if (releaseFailure) throw releaseFailure;
  const allowed = job.unexecutedDispatches < MAX_ATTEMPTS && !job.caller.isDisconnected()
    && isServing() && job.waitOperation.remainingMs > 0 && budget.tryConsume();
  if (!allowed) {
    throw new BeechliftError('noBackend', reason, {
      run: 'notRun', retryAfterMs: 1_000, steps: job.waitOperation.steps,
    });
  }
  metrics.retries.inc();
  await job.claim.reacquire(job.waitOperation);
};
