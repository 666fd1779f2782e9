/**
 * Mechanisms of routing decisions. Each one can be switched off to measure its effect; deployments
 * leave all of them on.
 */

/**
 * - `zoneAffinity`: among equally good servers, one in the entry's availability zone is preferred.
 * - `failureWeight`: servers that fail more often than their service's average are less preferred.
 * - `overrunGuard`: long answers are not sent to servers that would not finish them in time.
 * - `learntSpeeds`: the observed time per unit of work distinguishes faster and slower servers.
 * - `sharedSlowness`: other entries' observations of a server's speed count as well.
 * - `suspension`: a server that a request did not reach is suspended for a while.
 * - `silence`: a server that does not start an answer is suspended, and the request fails over.
 * - `leaderPlacing`: the leader grants the slots of model engines for all entries.
 * - `higherRanks`: the estimated wait includes requests of higher ranks that arrive meanwhile.
 * - `patienceByRank`: lower ranks have a shorter maximum wait.
 * - `shortestFirst`: among waiting requests of one rank, the shortest gets the next slot.
 * - `earlyRefusal`: a request that would wait too long is refused at once, not after that wait.
 * - `resumption`: a stream whose server is lost continues at another one.
 * - `leaseWait`: a request at an entry without a lease waits for the lease.
 */
export const MECHANISMS = [
  'zoneAffinity',
  'failureWeight',
  'overrunGuard',
  'learntSpeeds',
  'sharedSlowness',
  'suspension',
  'silence',
  'leaderPlacing',
  'higherRanks',
  'patienceByRank',
  'shortestFirst',
  'earlyRefusal',
  'resumption',
  'leaseWait',
] as const;

/** Name of a mechanism. */
export type Mechanism = typeof MECHANISMS[number];

/** Which mechanisms are on. */
export type Mechanisms = Readonly<Record<Mechanism, boolean>>;

/**
 * Makes the set of switches.
 *
 * @example
 * const mechanisms = makeMechanisms(['zoneAffinity']); // all but one are on
 */
export const makeMechanisms = (off: readonly Mechanism[] = []): Mechanisms => (
  Object.fromEntries(MECHANISMS.map((name) => [name, !off.includes(name)])) as Mechanisms
);
