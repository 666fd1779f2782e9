/** Callers of the cases, and what they count. */
import { callHttp, makeId } from './calls.mjs';
import {
  HOST, KEY, PLAIN_PATH, STREAM_PATH,
} from './documents.mjs';

/** Sends a request to the plain service. */
export const sendPlain = (address, headers = {}) => {
  const id = makeId();
  return callHttp(address, {
    method: 'POST',
    path: `${PLAIN_PATH}2f`,
    headers: {
      host: HOST, 'attempt-id': id, 'deadline-ms': '1500', authorization: `Bearer ${KEY}`, ...headers,
    },
    body: 'order',
    timeoutMs: 1_500,
  }).then((answer) => ({ ...answer, id }));
};

/** Sends a request for a stream of a model engine, of so many tokens. */
export const sendStream = (address, { prompt, output }, key = KEY) => {
  const id = makeId();
  return callHttp(address, {
    method: 'POST',
    path: `${STREAM_PATH}2f`,
    headers: {
      host: HOST,
      'attempt-id': id,
      'deadline-ms': '15000',
      authorization: `Bearer ${key}`,
      model: 'm',
      'token-count': `${prompt},${output}`,
      'prompt-prefix': `${id}:${prompt}`,
    },
    body: 'prompt',
    timeoutMs: 15_000,
  }).then((answer) => ({ ...answer, id }));
};

/** Counts answers by status; 0 stands for no answer. */
export const countStatuses = (answers) => answers.reduce(
  (counts, { status }) => ({ ...counts, [status]: (counts[status] ?? 0) + 1 }),
  {},
);

/** Finds the window of some milliseconds in which most was used: `{ units, endAt }`. */
export const findWorstWindow = (uses, windowMs) => {
  const ordered = [...uses].sort((one, other) => one.at - other.at);
  const worst = { units: 0, endAt: 0 };
  let first = 0;
  let units = 0;
  ordered.forEach((use) => {
    units += use.units;
    while (use.at - ordered[first].at > windowMs) {
      units -= ordered[first].units;
      first += 1;
    }
    if (units > worst.units) Object.assign(worst, { units, endAt: use.at });
  });
  return worst;
};
