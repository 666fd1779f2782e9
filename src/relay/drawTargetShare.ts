import { computeHashFraction } from '../utils/hashFraction';
import type { RequestFacts } from './requestDialect';

/**
 * Draws the number that selects one of several services of a route, from 0 to 1. The draw is the
 * same for all attempts at one stream: another service could not continue it.
 *
 * @example
 * const service = pickTarget(route.targets, drawTargetShare(facts));
 */
export const drawTargetShare = (
  { requestId, lastEventId, resumedId }: Pick<RequestFacts, 'requestId' | 'lastEventId' | 'resumedId'>,
): number => {
  const id = lastEventId === '' ? requestId : resumedId;
  return id === '' ? Math.random() : computeHashFraction(id);
};
