import { BeechliftError, toBeechliftError } from '../../errors/beechliftError';
import type { RequestJob } from '../callers/requestJob';

/**
 * Refuses a request for which no byte was sent. It is reported as not run only after its claim was
 * released at a majority of the holders; without a majority its run state is unknown.
 */
export const releaseAndRefuse = async (job: RequestJob, reason: unknown): Promise<never> => {
  const error = toBeechliftError(reason);
  const releaseFailure = await job.claim.release();
  if (!releaseFailure) throw error;
  throw new BeechliftError(error.code, error.message, { ...error.detail, run: 'unknown' });
};
