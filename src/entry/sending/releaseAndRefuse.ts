import { BeechliftError, toBeechliftError } from '../../errors/beechliftError';
import type { RequestJob } from '../callers/requestJob';

/*
 * Guards "not run": it is said only once the claim is given back at a majority, with no byte sent.
 * Where no majority agrees, the caller hears that nobody knows.
 */
export const releaseAndRefuse = async (job: RequestJob, reason: unknown): Promise<never> => {
  const error = toBeechliftError(reason);
  const releaseFailure = await job.claim.release();
  if (!releaseFailure) throw error;
  throw new BeechliftError(error.code, error.message, { ...error.detail, run: 'unknown' });
};
