import type { AskReply } from '../../protocol/generated/beechlift';
import { resultCodes } from '../../errors/resultCodes';

/**
 * Builds the reply to a slot request at an entry that does not own the pool, or no longer does.
 *
 * @example
 * resolve(makeOwnerMovedReply('another entry VM owns pool "engines"'));
 */
export const makeOwnerMovedReply = (message: string): AskReply => ({
  code: resultCodes.ownerMoved.number,
  retryAfterMs: 0,
  workerId: '',
  workerAddress: '',
  workerIncarnation: '',
  grantMs: 0,
  canResume: false,
  message,
});
