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

/** Where a request is dispatched. */
export interface ClaimedDispatch {
  readonly workerId: string;
  readonly workerAddress: string;
  readonly workerIncarnation: string;
  readonly streamId: string;
  readonly canResume: boolean;
}

/** An answer that is whole. */
export interface CompletedAnswer {
  readonly answer: {
    /** Whether the answer is within the bound of what is kept. */
    readonly isComplete: boolean;
    readonly encode: () => Buffer;
  };
  readonly status: number;
  readonly contentType: string;
}

/**
 * The claim of one request. A request without a key has none: nobody can send it again under the
 * same identity, and its entry sends it once.
 *
 * @example
 * await claim.take(operation);
 * await claim.markDispatched(dispatch, operation);
 */
export class RequestClaim {
  private preparedClaim: PreparedClaim | undefined;

  private lastValue: ClaimValue | undefined;

  constructor(private readonly request: CallerRequest, private readonly claims: ClaimClient) {}

  /** Whether there is a claim to keep. */
  get hasKey(): boolean {
    return this.request.idempotencyKey !== '';
  }

  /** What an earlier attempt agreed on and this one is bound to. */
  get bound(): ClaimValue | undefined {
    return this.preparedClaim && !canDispatch(this.preparedClaim) ? this.preparedClaim.bound : undefined;
  }

  /** Takes the claim; refuses a key that stands for another body. */
  async acquire(operation: Operation): Promise<void> {
    if (!this.hasKey) return;
    const { account, idempotencyKey, bodyHash } = this.request;
    this.preparedClaim = await this.claims.prepare(`${account}\n${idempotencyKey}`, operation);
    const { bound } = this;
    if (bound && bound.bodyHash !== bodyHash) {
      throw new BeechliftError('keyReused', 'this Idempotency-Key was used with another body');
    }
  }

  /** Writes where the request goes. No byte may be sent before this has succeeded. */
  async markDispatched(dispatch: ClaimedDispatch, operation: Operation): Promise<void> {
    await this.write('dispatched', operation, dispatch);
  }

  /** Confirms what is bound, so that it holds at a majority before it is acted on. */
  async confirmBound(operation: Operation): Promise<void> {
    if (!this.preparedClaim?.bound) return;
    this.lastValue = this.preparedClaim.bound;
    await this.claims.accept(this.preparedClaim, this.preparedClaim.bound, operation);
  }

  /** Writes that the answer is whole, with the answer when it is within its bound. */
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
   * Gives the claim back: only when this has succeeded is "not run" proven.
   *
   * @returns why no majority agreed; such an error says that nobody knows whether it ran
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
   * Takes the claim anew for another dispatch, after it was given back; fails when somebody else
   * has dispatched meanwhile.
   *
   * Guards against two runs: a ballot stands for one dispatch. A holder that has heard of the first
   * but not of the second would tell the next entry of the first, with the same ballot.
   */
  async reacquire(operation: Operation): Promise<void> {
    await this.acquire(operation);
    if (this.bound) throw makeSupersededError();
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
