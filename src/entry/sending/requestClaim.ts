import type { ClaimValue } from '../../protocol/generated/beechlift';
import { ClaimValue as ClaimValueCodec } from '../../protocol/generated/beechlift';
import type { ClaimState } from '../../core/claims/claimTable';
import { BeechliftError, toBeechliftError } from '../../errors/beechliftError';
import { Operation } from '../../utils/operation';
import type { CallerRequest } from '../callers/callerRequest';
import type { ClaimClient, PreparedClaim } from './claimClient';
import { canDispatch } from './claimClient';
import { makeSupersededError } from './supersededError';

const RELEASE_TIMEOUT_MS = 1_500;
const FINISH_TIMEOUT_MS = 5_000;

/** The backend server and stream that a request is dispatched to. */
export interface ClaimedDispatch {
  readonly workerId: string;
  readonly workerAddress: string;
  readonly workerIncarnation: string;
  readonly streamId: string;
  readonly canResume: boolean;
}

/** A complete answer. */
export interface CompletedAnswer {
  readonly answer: {
    /** Whether the answer is within the size limit for stored answers. */
    readonly isComplete: boolean;
    readonly encode: () => Buffer;
  };
  readonly status: number;
  readonly contentType: string;
}

/**
 * The claim of one request. A request without a key has none: it cannot be resent under the same
 * identity, and its entry sends it once.
 *
 * @example
 * await claim.acquire(operation);
 * await claim.markDispatched(dispatch, operation);
 */
export class RequestClaim {
  private preparedClaim: PreparedClaim | undefined;

  private lastValue: ClaimValue | undefined;

  constructor(private readonly request: CallerRequest, private readonly claims: ClaimClient) {}

  /** Whether the request has an idempotency key, and so a claim. */
  get hasKey(): boolean {
    return this.request.idempotencyKey !== '';
  }

  /** The accepted value of an earlier attempt, if it rules out a new dispatch by this one. */
  get bindingValue(): ClaimValue | undefined {
    return this.preparedClaim && !canDispatch(this.preparedClaim)
      ? this.preparedClaim.acceptedValue
      : undefined;
  }

  /** Acquires the claim; refuses a key that was used with another body. */
  async acquire(operation: Operation): Promise<void> {
    if (!this.hasKey) return;
    const { account, idempotencyKey, bodyHash } = this.request;
    this.preparedClaim = await this.claims.prepare(`${account}\n${idempotencyKey}`, operation);
    const { bindingValue } = this;
    if (bindingValue && bindingValue.bodyHash !== bodyHash) {
      throw new BeechliftError('keyReused', 'this Idempotency-Key was used with another body');
    }
  }

  /** Writes the dispatch of the request. No byte may be sent before this has succeeded. */
  async markDispatched(dispatch: ClaimedDispatch, operation: Operation): Promise<void> {
    await this.write('dispatched', operation, dispatch);
  }

  /** Writes the accepted value again, so that a majority has it before it is used. */
  async confirmAcceptedValue(operation: Operation): Promise<void> {
    if (!this.preparedClaim?.acceptedValue) return;
    this.lastValue = this.preparedClaim.acceptedValue;
    await this.claims.accept(this.preparedClaim, this.preparedClaim.acceptedValue, operation);
  }

  /** Writes that the answer is complete, with the answer itself if it is within the size limit. */
  async finish({ answer, status, contentType }: CompletedAnswer): Promise<void> {
    const fields: Partial<ClaimValue> = {
      ...this.lastValue,
      status,
      contentType,
      answerKept: answer.isComplete,
      answer: answer.isComplete ? answer.encode() : Buffer.alloc(0),
    };
    await this.write('finished', new Operation({ timeoutMs: FINISH_TIMEOUT_MS }), fields);
  }

  /**
   * Releases the claim. Only after this has succeeded is it proven that the request did not run.
   *
   * @returns the error when no majority agreed; its run state is unknown
   */
  async release(): Promise<BeechliftError | undefined> {
    if (!this.preparedClaim) return undefined;
    try {
      await this.write('released', new Operation({ timeoutMs: RELEASE_TIMEOUT_MS }));
      return undefined;
    } catch (thrown) {
      const error = toBeechliftError(thrown);
      return new BeechliftError(error.code, error.message, { ...error.detail, run: 'unknown' });
    }
  }

  /**
   * Acquires the released claim again for another dispatch; fails when another entry has dispatched
   * the request in the meantime.
   *
   * Prevents running the request twice: each ballot belongs to one dispatch. With a shared ballot,
   * a holder that received only the first dispatch would report it to the next entry as current.
   */
  async reacquire(operation: Operation): Promise<void> {
    await this.acquire(operation);
    if (this.bindingValue) throw makeSupersededError();
  }

  private async write(
    state: ClaimState,
    operation: Operation,
    fields: Partial<ClaimValue> = {},
  ): Promise<void> {
    if (!this.preparedClaim) return;
    const value = ClaimValueCodec.fromPartial({
      ...fields, state, bodyHash: this.request.bodyHash, target: this.request.target,
    });
    this.lastValue = value;
    await this.claims.accept(this.preparedClaim, value, operation);
  }
}
