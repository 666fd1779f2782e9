import { request } from 'undici';
import type { LocateAnswer } from '../entry/callers/callerApi';
import { CALLER_HEADERS } from '../entry/callers/callerRequest';
import { BeechliftError, makeErrorFromNumber } from '../errors/beechliftError';
import type { ErrorBody } from '../errors/beechliftError';
import { EXIT_CODES, printResult } from './output';

/** Arguments of `locate`. */
export interface LocateArguments {
  readonly entry: string;
  readonly key: string;
  readonly zone: string;
  readonly json: boolean;
}

const TIMEOUT_MS = 5_000;

/** Asks an entry VM which entry VMs to use, and prints them. */
export const runLocate = async ({
  entry, key, zone, json,
}: LocateArguments): Promise<number> => {
  const response = await request(`http://${entry}/v1/entries`, {
    headers: { authorization: `Bearer ${key}`, ...(zone ? { [CALLER_HEADERS.zone]: zone } : {}) },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  }).catch((cause: unknown) => {
    throw new BeechliftError('configurationStale', `no answer from entry ${entry}: ${(cause as Error).message}`);
  });
  const body = await response.body.json();
  if (response.statusCode !== 200) {
    const { error } = body as ErrorBody;
    throw makeErrorFromNumber(error.code, error.message);
  }
  const answer = body as LocateAnswer;
  const lines = answer.entries
    .map(({ id, address, zone: entryZone }) => `${address}  ${id} in ${entryZone}`);
  printResult(answer, [...lines, `valid for ${answer.keepMs} ms`].join('\n'), json);
  return EXIT_CODES.done;
};
