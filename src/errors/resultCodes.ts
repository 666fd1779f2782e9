/**
 * Every numbered result of beechlift. docs/CODES.md shows the same table; a test compares the two.
 */

/** Whether the request did any work: what a caller needs to know before it sends it again. */
export type RunState = 'notRun' | 'ran' | 'unknown';

/** One row of the table. */
export interface ResultCodeRow {
  /** The stable number, which never changes its meaning. */
  readonly number: number;
  /** HTTP status that carries the code towards callers and operators. */
  readonly status: number;
  readonly run: RunState;
  /** What the reader should do about it, one sentence. */
  readonly action: string;
}

const defineCodes = <Name extends string>(rows: Record<Name, ResultCodeRow>) => rows;

/** The table itself, by name. */
export const resultCodes = defineCodes({
  malformedJson: {
    number: 1001, status: 400, run: 'notRun', action: 'Send a body that is valid JSON.',
  },
  invalidRequest: {
    number: 1002, status: 400, run: 'notRun', action: 'Correct the field that the message names.',
  },
  unknownKey: {
    number: 1003, status: 401, run: 'notRun', action: 'Send a valid API key in the Authorization header.',
  },
  tierNotGranted: {
    number: 1004, status: 403, run: 'notRun', action: 'Ask for a tier that the client account holds.',
  },
  unknownModel: {
    number: 1005, status: 404, run: 'notRun', action: 'Name a model that the manifest carries.',
  },
  unknownService: {
    number: 1006, status: 404, run: 'notRun', action: 'Name a service that the manifest carries.',
  },
  unknownPath: {
    number: 1007, status: 404, run: 'notRun', action: 'Use a path of docs/CALLERS.md.',
  },
  bodyTooLarge: {
    number: 1008, status: 413, run: 'notRun', action: 'Send a smaller body.',
  },
  keyReused: {
    number: 1009, status: 422, run: 'notRun', action: 'Use a new Idempotency-Key for another body.',
  },
  keyRequired: {
    number: 1010, status: 400, run: 'notRun', action: 'Send an Idempotency-Key with a non-idempotent request.',
  },
  accountLimited: {
    number: 1011, status: 429, run: 'notRun', action: 'Wait for Retry-After, or raise the account limit in the manifest.',
  },
  superseded: {
    number: 1012, status: 409, run: 'unknown', action: 'Read the answer through the entry VM that took the resend.',
  },
  headersTooLarge: {
    number: 1013, status: 431, run: 'notRun', action: 'Send fewer or shorter headers.',
  },
  unknownRoute: {
    number: 1014, status: 404, run: 'notRun', action: 'Use a host and path that a route of the routing document covers.',
  },
  bodyTooSlow: {
    number: 1015, status: 408, run: 'notRun', action: 'Send the body without long pauses.',
  },
  noSlotInTime: {
    number: 2001, status: 503, run: 'notRun', action: 'Send the request again after Retry-After.',
  },
  queueFull: {
    number: 2002, status: 503, run: 'notRun', action: 'Send the request again after Retry-After.',
  },
  configurationStale: {
    number: 2003, status: 503, run: 'notRun', action: 'Use the next entry VM; this one cannot reach a control quorum.',
  },
  entryLeaving: {
    number: 2004, status: 503, run: 'notRun', action: 'Use the next entry VM; this one is shutting down.',
  },
  claimUnavailable: {
    number: 2005, status: 503, run: 'notRun', action: 'Send again with the same key; a majority of claim holders did not answer.',
  },
  noBackend: {
    number: 2006, status: 503, run: 'notRun', action: 'Check that a backend server of this pool announces itself.',
  },
  ownerMoved: {
    number: 2007, status: 503, run: 'notRun', action: 'Send again; the pool has a new owner.',
  },
  starting: {
    number: 2008, status: 503, run: 'notRun', action: 'Use another replica, or ask again in a moment; this one has just started.',
  },
  requestQuarantined: {
    number: 2009, status: 503, run: 'notRun', action: 'Do not send this request again before Retry-After: backend servers ended under it each time. Change it, or report it with its fingerprint.',
  },
  backendsResting: {
    number: 2010, status: 503, run: 'notRun', action: 'Send the request again after Retry-After; all backend servers of the service asked this entry VM for rest.',
  },
  outcomeUnknown: {
    number: 3001, status: 502, run: 'unknown', action: 'Ask again with the same key; do not use a new one.',
  },
  backendFailed: {
    number: 3002, status: 502, run: 'ran', action: 'The backend server ended the answer early; decide whether to repeat it under a new key.',
  },
  answerGone: {
    number: 3003, status: 410, run: 'ran', action: 'The request ran, but its answer is no longer kept.',
  },
  answerTooLarge: {
    number: 3004, status: 502, run: 'ran', action: 'Stream the answer, or raise limits.answerBytes in the manifest.',
  },
  callerGone: {
    number: 3005, status: 499, run: 'unknown', action: 'None; the caller closed the connection.',
  },
  routeTimeout: {
    number: 3006, status: 504, run: 'unknown', action: 'Raise the timeout of the route, or ask for less at a time.',
  },
  internalFailure: {
    number: 3999, status: 500, run: 'unknown', action: 'Report it with the log lines of the request id.',
  },
  manifestMalformed: {
    number: 4001, status: 400, run: 'notRun', action: 'Generate a manifest that is valid JSON.',
  },
  manifestInvalid: {
    number: 4002, status: 422, run: 'notRun', action: 'Correct the field at the path; see beechlift check --schema.',
  },
  danglingName: {
    number: 4003, status: 422, run: 'notRun', action: 'Define the name, or remove the reference.',
  },
  uncarriedModel: {
    number: 4004, status: 422, run: 'notRun', action: 'Let a pool with a worker role carry the model.',
  },
  headroomAboveCapacity: {
    number: 4005, status: 422, run: 'notRun', action: 'Lower the headroom so that all tiers together stay at or under 0.9.',
  },
  tierInUse: {
    number: 4006, status: 422, run: 'notRun', action: 'Take the tier from its client accounts first.',
  },
  versionTaken: {
    number: 4007, status: 409, run: 'notRun', action: 'Read the accepted manifest and submit under a higher version.',
  },
  versionTooLow: {
    number: 4008, status: 409, run: 'notRun', action: 'Submit under a version above the one in force.',
  },
  noQuorum: {
    number: 4009, status: 503, run: 'unknown', action: 'Submit the same manifest again; resending is safe.',
  },
  operatorUnknown: {
    number: 4010, status: 401, run: 'notRun', action: 'Send a valid operator key.',
  },
  replicaChangeRefused: {
    number: 4011, status: 409, run: 'notRun', action: 'Wait until the change in progress is finished.',
  },
  baseMoved: {
    number: 4012, status: 409, run: 'notRun', action: 'Rebuild the manifest on the digest that is in force.',
  },
  duplicateRank: {
    number: 4013, status: 422, run: 'notRun', action: 'Give every tier a rank of its own.',
  },
  duplicateKey: {
    number: 4014, status: 422, run: 'notRun', action: 'Give every client account keys of its own.',
  },
  limitsAboveBound: {
    number: 4015, status: 422, run: 'notRun', action: 'Lower the concurrency limits until their sum is within the queue bound.',
  },
  settingsMalformed: {
    number: 5001, status: 400, run: 'notRun', action: 'Write settings that are valid JSON with comments.',
  },
  settingsInvalid: {
    number: 5002, status: 400, run: 'notRun', action: 'Correct every field that is listed.',
  },
  fileUnreadable: {
    number: 5003, status: 400, run: 'notRun', action: 'Check the path and its permissions.',
  },
  announcementInvalid: {
    number: 6001, status: 400, run: 'notRun', action: 'Correct the field at the path; see docs/BACKENDS.md.',
  },
  announcementRefused: {
    number: 6002, status: 401, run: 'notRun', action: 'Announce with the secret of the pool.',
  },
  unknownPool: {
    number: 6003, status: 404, run: 'notRun', action: 'Announce for a pool that the manifest carries.',
  },
  tooManyBackends: {
    number: 6004, status: 503, run: 'notRun', action: 'Raise limits.workersPerPool in the manifest.',
  },
  logCorrupt: {
    number: 7001, status: 500, run: 'unknown', action: 'Replace this replica; its data folder is damaged.',
  },
  storageFailed: {
    number: 7002, status: 500, run: 'unknown', action: 'Free space or replace the disk, then start the process again.',
  },
  claimsFull: {
    number: 7003, status: 503, run: 'notRun', action: 'Wait for claims to expire, or lower the retention.',
  },
  holderSetMoved: {
    number: 7004, status: 503, run: 'notRun', action: 'Send again; the claim holders are changing.',
  },
  ballotTooLow: {
    number: 7005, status: 409, run: 'unknown', action: 'None; another entry VM holds the claim.',
  },
  diskLost: {
    number: 7007, status: 500, run: 'notRun', action: 'Replace this replica under a new id with beechlift replace.',
  },
  recordsInvalid: {
    number: 8001, status: 400, run: 'notRun', action: 'Correct the line of the records file that is named.',
  },
});

/** Name of a result code. */
export type ResultCode = keyof typeof resultCodes;

const namesByNumber = new Map(
  (Object.entries(resultCodes) as [ResultCode, ResultCodeRow][])
    .map(([name, row]) => [row.number, name]),
);

/**
 * Finds a code's name by its number.
 *
 * @example
 * findCodeName(2001); // 'noSlotInTime'
 */
export const findCodeName = (number: number): ResultCode | undefined => namesByNumber.get(number);
