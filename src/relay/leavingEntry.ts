/** What an entry that shuts down still takes. */
import { canFinishWithin } from '../core/routing/answerTime';
import { BeechliftError } from '../errors/beechliftError';
import type { AdmittedRequest } from './admitRequest';
import type { RelaySite } from './relaySite';
import type { RequestFacts } from './requestDialect';
import type { PickedWorker } from './workerPicker';

/** Time after which a caller may ask another entry, in milliseconds. */
const OTHER_ENTRY_RETRY_MS = 50;

/** Makes the refusal of a request that this entry cannot answer before it ends. */
export const makeLeavingError = (): BeechliftError => new BeechliftError('entryLeaving', 'this entry shuts down before the answer could end', {
  retryAfterMs: OTHER_ENTRY_RETRY_MS,
});

/**
 * Tells whether an entry ends late enough to answer a request whole; one that stays always does.
 *
 * @param picked where the request goes; without it, the fastest backend server is assumed
 * @example
 * if (!canAnswerInTime(site, admitted, facts)) throw makeLeavingError();
 */
export const canAnswerInTime = (
  site: RelaySite,
  { service, route }: AdmittedRequest,
  { tokens, patienceMs }: RequestFacts,
  picked?: PickedWorker,
): boolean => {
  if (!site.isLeaving) return true;
  const { remainingMs: remainingMs } = site;
  if (Math.min(route.timeoutMs, patienceMs ?? Infinity) <= remainingMs) return true;
  if (!tokens) return false;
  const size = { service, promptTokens: tokens.prompt, outputTokens: tokens.output };
  return canFinishWithin(site.workers, size, remainingMs, picked?.worker);
};
