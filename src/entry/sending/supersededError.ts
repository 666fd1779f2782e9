import { BeechliftError } from '../../errors/beechliftError';

/**
 * Builds the error for a request whose key was taken over by another entry VM.
 *
 * @param steps the steps of the operation, for the details of the error
 * @example
 * if (hasHigherBallot(round)) throw makeSupersededError(operation.steps);
 */
export const makeSupersededError = (steps?: readonly string[]): BeechliftError => (
  new BeechliftError(
    'superseded',
    'the same key was sent again and taken over by another entry VM',
    steps ? { steps } : {},
  ));
