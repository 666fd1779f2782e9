/** Decides which requests an entry still accepts while it shuts down. */
import {
  canFinishWithin, mayLoadGrow, shortenForFreeSlots, shortenForLoad,
} from '../core/routing/answerTime';
import { BeechliftError } from '../errors/beechliftError';
import type { AdmittedRequest } from './admitRequest';
import type { RelaySite } from './relaySite';
import type { RequestFacts } from './requestDialect';
import type { PickedWorker } from './pickRequest';

/** Retry-After for callers that can use another entry, in milliseconds. */
const OTHER_ENTRY_RETRY_MS = 50;

/** Makes the refusal of a request that this entry cannot answer before it shuts down. */
export const makeLeavingError = (): BeechliftError => new BeechliftError('entryLeaving', 'this entry shuts down before the answer would be complete', {
  retryAfterMs: OTHER_ENTRY_RETRY_MS,
});

/**
 * Returns whether an entry can complete the answer to a request before it shuts down, even if the
 * backend servers become slower meanwhile; always true unless a shutdown is in progress.
 *
 * @param picked the chosen backend server; if it is missing, the fastest one is assumed
 * @example
 * if (!canAnswerInTime(site, admitted, facts)) throw makeLeavingError();
 */
export const canAnswerInTime = (
  site: RelaySite,
  { service, route }: AdmittedRequest,
  { tokens, maxWaitMs }: RequestFacts,
  picked?: PickedWorker,
): boolean => {
  if (!site.isLeaving) return true;
  const { remainingMs, locatedShare, mayTakeRisks } = site.leaving;
  if (Math.min(route.timeoutMs, maxWaitMs ?? Infinity) <= remainingMs) return true;
  if (!tokens || !mayTakeRisks) return false;
  const size = {
    service,
    promptTokens: tokens.prompt,
    outputTokens: tokens.output,
    startMs: picked?.expectedMs ?? 0,
  };
  // A refusal costs the caller a try at another entry, and an aborted stream its whole answer. The
  // longer the directory has not listed this entry, the more of its callers know others. While
  // slots are free, the caller gets one through another entry; once all are taken, a refusal costs
  // it its place.
  const isCautious = site.hasOtherEntries && mayLoadGrow(site.workers, service, picked?.worker);
  const safeMs = isCautious
    ? shortenForFreeSlots(remainingMs)
    : shortenForLoad(remainingMs, locatedShare);
  return canFinishWithin(site.workers, size, safeMs, picked?.worker);
};
