import { BeechliftError } from '../../errors/beechliftError';
import type { Metrics } from '../../telemetry/metrics';
import type { RequestJob } from '../callers/requestJob';
import type { RetryBudget } from './retryBudget';

const MAX_ATTEMPTS = 3;

/** What decides whether a request may start over. */
export interface StartOverParts {
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  readonly isServing: () => boolean;
}

/**
 * Makes a request ready to start over after a dispatch that provably did no work: gives its claim
 * back, takes a retry from the budget and the claim anew. Throws the final answer when it may not.
 *
 * @example
 * await startOver(parts, job, 'backend server "g1" could not be reached');
 */
export const startOver = async (
  { budget, metrics, isServing }: StartOverParts,
  job: RequestJob,
  reason: string,
): Promise<void> => {
  job.waiting = job.makeWaiting();
  job.waiting.note(reason);
  job.attempts += 1;
  const releaseFailure = await job.claim.release();
  if (releaseFailure) throw releaseFailure;
  const allowed = job.attempts < MAX_ATTEMPTS && !job.caller.isGone()
    && isServing() && job.waiting.remainingMs > 0 && budget.take();
  if (!allowed) {
    throw new BeechliftError('noBackend', reason, {
      run: 'notRun', retryAfterMs: 1_000, steps: job.waiting.steps,
    });
  }
  metrics.retries.inc();
  await job.claim.takeAnew(job.waiting);
};
