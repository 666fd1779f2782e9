import { setTimeout as pause } from 'node:timers/promises';
import { ControlClient } from '../../protocol/generated/beechlift';
import type {
  AcceptClaimRequest, Ballot, ClaimReply, ClaimValue, HolderSet, PrepareClaimRequest, Replica,
} from '../../protocol/generated/beechlift';
import {
  findAcceptedValue, findHolderGroups, evaluateQuorum, listHolders, computeNextBallot,
} from '../../core/claims/claimQuorum';
import type { HolderGroups } from '../../core/claims/claimQuorum';
import { BeechliftError } from '../../errors/beechliftError';
import { resultCodes } from '../../errors/resultCodes';
import { Operation } from '../../utils/operation';
import type { LinkTable } from '../../wire/linkTable';
import { makeSupersededError } from './supersededError';

/** A claim that this entry has prepared at a majority of its holders. */
export interface PreparedClaim {
  readonly key: string;
  readonly ballot: Ballot;
  /**
   * The value that was accepted before. A new dispatch is allowed only if there is none or its
   * state is `released`.
   */
  readonly acceptedValue: ClaimValue | undefined;
}

interface Round {
  readonly replies: Map<string, ClaimReply>;
  readonly won: boolean;
  /** Errors of the calls that failed. */
  readonly failures: readonly string[];
}

const ROUND_TIMEOUT_MS = 1_500;
const MAX_ATTEMPTS = 10;
const FIRST_PAUSE_MS = 40;
const MAX_PAUSE_MS = 500;

const runRound = (
  groups: HolderGroups,
  callHolder: (holder: Replica) => Promise<ClaimReply>,
): Promise<Round> => new Promise((resolve) => {
  const replies = new Map<string, ClaimReply>();
  const failed = new Set<string>();
  const failures: string[] = [];
  const checkQuorum = () => {
    const state = evaluateQuorum(groups, replies, failed);
    if (state !== 'open') resolve({ replies, won: state === 'won', failures });
  };
  const holders = listHolders(groups);
  if (holders.length === 0) checkQuorum();
  holders.forEach((holder) => {
    callHolder(holder)
      .then((reply) => {
        replies.set(holder.id, reply);
      })
      .catch((error: Error) => {
        failed.add(holder.id);
        failures.push(`${holder.id}: ${error.message}`);
      })
      .finally(checkQuorum);
  });
});

const formatRound = ({ replies, failures }: Round): string => [
  ...[...replies].map(([id, { ok, code }]) => `${id}: ${ok ? 'agreed' : code}`),
  ...failures,
].join(', ');

const hasHigherBallot = ({ replies }: Round): boolean => [...replies.values()]
  .some(({ code }) => code === resultCodes.ballotTooLow.number);

/** Doubles with every attempt; the random part prevents two proposers from colliding repeatedly. */
const computePauseMs = (attemptsLeft: number): number => {
  const maxPauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (MAX_ATTEMPTS - attemptsLeft));
  return maxPauseMs * (0.5 + Math.random() / 2);
};

/**
 * Prepares and writes claims at a majority of their holders.
 *
 * @example
 * const claim = await claims.prepare('kiosks\nroom-17', operation);
 * await claims.accept(claim, value, operation);
 */
export class ClaimClient {
  private sequence = 0;

  constructor(
    private readonly proposer: string,
    private readonly links: LinkTable<ControlClient>,
    private readonly readHolders: () => HolderSet,
    private readonly wait: (ms: number) => Promise<unknown> = pause,
  ) {}

  /** Takes over a claim from any earlier proposer, and returns the value accepted before. */
  async prepare(key: string, operation: Operation): Promise<PreparedClaim> {
    this.sequence += 1;
    const proposer = `${this.proposer}:${this.sequence}`;
    return this.tryPrepare(key, { round: 1, proposer }, operation, MAX_ATTEMPTS);
  }

  /**
   * Writes the state of the request. Fails when another entry has taken over the claim, or when no
   * majority answers. After a failure nothing may be sent under this claim.
   */
  async accept(claim: PreparedClaim, value: ClaimValue, operation: Operation): Promise<void> {
    await this.tryAccept(claim, value, operation, MAX_ATTEMPTS);
  }

  /*
   * Retries when holders are slow for a moment because they wait for a disk sync. Sending the
   * value again has no effect on holders that accepted it. An entry that took over the claim in
   * the meantime has a higher ballot, so the next attempt fails.
   */
  private async tryAccept(
    claim: PreparedClaim,
    value: ClaimValue,
    operation: Operation,
    attempts: number,
  ): Promise<void> {
    const groups = findHolderGroups(this.readHolders(), claim.key);
    const round = await runRound(groups, (holder) => this.call<AcceptClaimRequest>(
      holder,
      'acceptClaim',
      {
        holderSet: groups.number, key: claim.key, ballot: claim.ballot, value,
      },
      operation,
    ));
    if (round.won) return;
    operation.recordStep(`writing claim state "${value.state}" failed: ${formatRound(round)}`);
    if (hasHigherBallot(round)) {
      throw makeSupersededError(operation.steps);
    }
    await this.pauseBeforeRetry(operation, attempts);
    await this.tryAccept(claim, value, operation, attempts - 1);
  }

  private async tryPrepare(
    key: string,
    ballot: Ballot,
    operation: Operation,
    attempts: number,
  ): Promise<PreparedClaim> {
    const groups = findHolderGroups(this.readHolders(), key);
    const round = await runRound(groups, (holder) => this.call<PrepareClaimRequest>(
      holder,
      'prepareClaim',
      { holderSet: groups.number, key, ballot },
      operation,
    ));
    if (round.won) return { key, ballot, acceptedValue: findAcceptedValue(round.replies.values()) };
    operation.recordStep(`preparing the claim with ballot ${ballot.round} failed: ${formatRound(round)}`);
    await this.pauseBeforeRetry(operation, attempts);
    const next = computeNextBallot(ballot.proposer, round.replies.values(), ballot);
    return this.tryPrepare(key, next, operation, attempts - 1);
  }

  /**
   * Waits before the next attempt; throws when no attempt is left.
   *
   * While claim holders are replaced, they refuse the older holder set of this entry until its next
   * heartbeat returns the newer one. Immediate retries would use up all attempts before that.
   */
  private async pauseBeforeRetry(operation: Operation, attempts: number): Promise<void> {
    if (attempts <= 1 || operation.remainingMs === 0 || operation.signal.aborted) {
      throw new BeechliftError('claimUnavailable', 'no majority of claim holders agreed', { steps: operation.steps });
    }
    await this.wait(computePauseMs(attempts));
  }

  private call<Request>(
    holder: Replica,
    method: 'prepareClaim' | 'acceptClaim',
    request: Request,
    operation: Operation,
  ): Promise<ClaimReply> {
    const timeoutMs = Math.min(ROUND_TIMEOUT_MS, operation.remainingMs);
    return this.links.find(holder.address).call<Request, ClaimReply>(
      (stub) => stub[method].bind(stub) as never,
      request,
      new Operation({ timeoutMs }),
    );
  }
}

/** Whether a prepared claim allows a new dispatch. */
export const canDispatch = ({ acceptedValue }: PreparedClaim): boolean => (
  acceptedValue === undefined || acceptedValue.state === 'released'
);
