/**
 * All result codes. docs/CODES.md is generated from this table; a test checks that it is current.
 */

/** Whether the request did any work, which a caller must know before it sends the request again. */
export type RunState = 'notRun' | 'ran' | 'unknown';

/** One row of the table. */
export interface ResultCodeRow {
  /** The stable number, which never changes its meaning. */
  readonly number: number;
  /** HTTP status of the response to callers and operators. */
  readonly status: number;
  readonly run: RunState;
  /** Recommended action of the caller or operator, one sentence. */
  readonly action: string;
}

const defineCodes = <Name extends string>(rows: Record<Name, ResultCodeRow>) => rows;

/** The result codes by name. */
export const resultCodes = defineCodes({
  malformedJson: {
    number: 1001, status: 400, run: 'notRun', action: 'Send a body that is valid JSON.',
  },
  invalidRequest: {
    number: 1002, status: 400, run: 'notRun', action: 'Correct the field that is named in the message.',
  },
  unknownKey: {
    number: 1003, status: 401, run: 'notRun', action: 'Send a valid API key in the Authorization header.',
  },
  tierNotGranted: {
    number: 1004, status: 403, run: 'notRun', action: 'Request a tier that is granted to the client account.',
  },
  unknownModel: {
    number: 1005, status: 404, run: 'notRun', action: 'Use a model that is defined in the manifest.',
  },
  unknownService: {
    number: 1006, status: 404, run: 'notRun', action: 'Use a service that is defined in the manifest.',
  },
  unknownPath: {
    number: 1007, status: 404, run: 'notRun', action: 'Use a path that is listed in docs/CALLERS.md.',
  },
  bodyTooLarge: {
    number: 1008, status: 413, run: 'notRun', action: 'Send a smaller body.',
  },
  keyReused: {
    number: 1009, status: 422, run: 'notRun', action: 'Use a new Idempotency-Key for a different body.',
  },
  keyRequired: {
    number: 1010, status: 400, run: 'notRun', action: 'Send an Idempotency-Key with a non-idempotent request.',
  },
  accountLimited: {
    number: 1011, status: 429, run: 'notRun', action: 'Retry after the time in Retry-After, or raise the limit of the account in the manifest.',
  },
  superseded: {
    number: 1012, status: 409, run: 'unknown', action: 'Read the answer from the entry VM that accepted the resend.',
  },
  headersTooLarge: {
    number: 1013, status: 431, run: 'notRun', action: 'Send fewer or shorter headers.',
  },
  unknownRoute: {
    number: 1014, status: 404, run: 'notRun', action: 'Use a host and path that match a route of the routing document.',
  },
  bodyTooSlow: {
    number: 1015, status: 408, run: 'notRun', action: 'Send the body without long pauses.',
  },
  noSlotInTime: {
    number: 2001, status: 503, run: 'notRun', action: 'Retry after the time in Retry-After.',
  },
  queueFull: {
    number: 2002, status: 503, run: 'notRun', action: 'Retry after the time in Retry-After.',
  },
  configurationStale: {
    number: 2003, status: 503, run: 'notRun', action: 'Use another entry VM; this one cannot reach a quorum of control replicas.',
  },
  entryLeaving: {
    number: 2004, status: 503, run: 'notRun', action: 'Use another entry VM; this one is shutting down.',
  },
  claimUnavailable: {
    number: 2005, status: 503, run: 'notRun', action: 'Retry with the same key; a majority of the claim holders did not respond.',
  },
  noBackend: {
    number: 2006, status: 503, run: 'notRun', action: 'Check that the backend servers of this pool are running and send announcements.',
  },
  ownerMoved: {
    number: 2007, status: 503, run: 'notRun', action: 'Retry; the pool has a new owner.',
  },
  starting: {
    number: 2008, status: 503, run: 'notRun', action: 'Use another replica, or retry shortly; this one has just started.',
  },
  requestQuarantined: {
    number: 2009, status: 503, run: 'notRun', action: 'Do not retry before the time in Retry-After: the backend servers that ran this request crashed. Change the request, or report it with its fingerprint.',
  },
  backendsResting: {
    number: 2010, status: 503, run: 'notRun', action: 'Retry after the time in Retry-After; all backend servers of the service asked this entry VM to back off.',
  },
  backendsLimited: {
    number: 2011, status: 503, run: 'notRun', action: 'Retry after the time in Retry-After; all backend servers of the service have named a rate limit that is used up.',
  },
  backendsUnreachable: {
    number: 2012, status: 503, run: 'notRun', action: 'Use another entry VM; this one has lost its links to the backend servers.',
  },
  streamVersionGone: {
    number: 2013, status: 503, run: 'notRun', action: 'Begin the stream anew; no backend server of the software version that began it accepts requests.',
  },
  streamOriginUnknown: {
    number: 2014, status: 503, run: 'notRun', action: 'Retry after the time in Retry-After, naming the attempt that began the stream, or begin the stream anew.',
  },
  outcomeUnknown: {
    number: 3001, status: 502, run: 'unknown', action: 'Retry with the same key; do not use a new one.',
  },
  backendFailed: {
    number: 3002, status: 502, run: 'ran', action: 'The answer of the backend server is incomplete; decide whether to repeat the request with a new key.',
  },
  answerGone: {
    number: 3003, status: 410, run: 'ran', action: 'None; the request ran, but its answer is no longer stored.',
  },
  answerTooLarge: {
    number: 3004, status: 502, run: 'ran', action: 'Stream the answer, or raise limits.answerBytes in the manifest.',
  },
  callerGone: {
    number: 3005, status: 499, run: 'unknown', action: 'None; the caller closed the connection.',
  },
  routeTimeout: {
    number: 3006, status: 504, run: 'unknown', action: 'Raise the timeout of the route, or send smaller requests.',
  },
  internalFailure: {
    number: 3999, status: 500, run: 'unknown', action: 'Report the error with the log lines of the request id.',
  },
  manifestMalformed: {
    number: 4001, status: 400, run: 'notRun', action: 'Submit a manifest that is valid JSON.',
  },
  manifestInvalid: {
    number: 4002, status: 422, run: 'notRun', action: 'Correct the field at the given path; see beechlift check --schema.',
  },
  danglingName: {
    number: 4003, status: 422, run: 'notRun', action: 'Define the name, or remove the reference.',
  },
  uncarriedModel: {
    number: 4004, status: 422, run: 'notRun', action: 'Add the model or service to a pool with role "worker".',
  },
  headroomAboveCapacity: {
    number: 4005, status: 422, run: 'notRun', action: 'Lower the headroom so that the sum over all tiers is at most 0.9.',
  },
  tierInUse: {
    number: 4006, status: 422, run: 'notRun', action: 'Remove the tier from its client accounts first.',
  },
  versionTaken: {
    number: 4007, status: 409, run: 'notRun', action: 'Read the accepted manifest and submit with a higher version.',
  },
  versionTooLow: {
    number: 4008, status: 409, run: 'notRun', action: 'Submit with a version above the current one.',
  },
  noQuorum: {
    number: 4009, status: 503, run: 'unknown', action: 'Submit the same manifest again; this is safe.',
  },
  operatorUnknown: {
    number: 4010, status: 401, run: 'notRun', action: 'Send a valid operator key.',
  },
  replicaChangeRefused: {
    number: 4011, status: 409, run: 'notRun', action: 'Retry after the replica change in progress is complete.',
  },
  baseMoved: {
    number: 4012, status: 409, run: 'notRun', action: 'Rebuild the manifest from the current one and set basedOn to its digest.',
  },
  duplicateRank: {
    number: 4013, status: 422, run: 'notRun', action: 'Give every tier a unique rank.',
  },
  duplicateKey: {
    number: 4014, status: 422, run: 'notRun', action: 'Give every client account unique keys.',
  },
  limitsAboveBound: {
    number: 4015, status: 422, run: 'notRun', action: 'Lower the concurrency limits until their sum is within the queue bound.',
  },
  settingsMalformed: {
    number: 5001, status: 400, run: 'notRun', action: 'Provide settings that are valid JSON with comments.',
  },
  settingsInvalid: {
    number: 5002, status: 400, run: 'notRun', action: 'Correct all listed fields.',
  },
  fileUnreadable: {
    number: 5003, status: 400, run: 'notRun', action: 'Check the path and its permissions.',
  },
  announcementInvalid: {
    number: 6001, status: 400, run: 'notRun', action: 'Correct the field at the given path; see docs/BACKENDS.md.',
  },
  announcementRefused: {
    number: 6002, status: 401, run: 'notRun', action: 'Send announcements with the secret of the pool.',
  },
  unknownPool: {
    number: 6003, status: 404, run: 'notRun', action: 'Send announcements for a pool that is defined in the manifest.',
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
    number: 7003, status: 503, run: 'notRun', action: 'Wait until claims expire, or lower limits.claimRetentionMs in the manifest.',
  },
  holderSetMoved: {
    number: 7004, status: 503, run: 'notRun', action: 'Retry; the claim holders are changing.',
  },
  ballotTooLow: {
    number: 7005, status: 409, run: 'unknown', action: 'None; another entry VM holds the claim.',
  },
  diskLost: {
    number: 7007, status: 500, run: 'notRun', action: 'Replace this replica under a new id with beechlift replace.',
  },
  recordsInvalid: {
    number: 8001, status: 400, run: 'notRun', action: 'Correct the line of the records file that is named in the message.',
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
