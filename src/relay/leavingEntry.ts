/** What an entry that shuts down tells its callers. */
import { BeechliftError } from '../errors/beechliftError';

/** Time after which a caller may ask another entry, in milliseconds. */
const OTHER_ENTRY_MS = 50;

/** Makes the refusal of a request that this entry cannot answer before it ends. */
export const makeLeavingError = (): BeechliftError => new BeechliftError('entryLeaving', 'this entry shuts down before the answer could end', {
  retryAfterMs: OTHER_ENTRY_MS,
});
