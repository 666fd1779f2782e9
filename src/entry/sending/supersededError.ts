import { BeechliftError } from '../../errors/beechliftError';

/**
 * What a request is told whose key another entry VM has taken over.
 *
 * @param steps what was done for it, where that tells more
 * @example
 * if (wasOutbid(round)) throw makeSupersededError(operation.steps);
 */
export const makeSupersededError = (steps?: readonly string[]): BeechliftError => (
  new BeechliftError(
    'superseded',
    'the same key was sent again and taken over by another entry VM',
    steps ? { steps } : {},
  ));
