import type {
  AcceptClaimRequest, ClaimRecord, ClaimReply, CopyClaimsReply, CopyClaimsRequest, HolderSet,
  PrepareClaimRequest,
} from '../protocol/generated/beechlift';
import { ZERO_BALLOT } from '../core/claims/ballot';
import {
  acceptClaim, DEFAULT_CLAIM_BOUNDS, expireClaims, listClaimRecords, makeClaimTable, mergeClaim,
  prepareClaim,
} from '../core/claims/claimTable';
import type { ClaimBounds, ClaimDecision, ClaimTable } from '../core/claims/claimTable';
import type { ClaimStore } from '../disk/claimStore';
import { resultCodes } from '../errors/resultCodes';
import type { ResultCode } from '../errors/resultCodes';
import type { Clock } from '../utils/clock';

const COPY_BATCH = 2_000;

const toCodeNumber = (code: ResultCode | 'accepted'): number => (
  code === 'accepted' ? 0 : resultCodes[code].number
);

const toReply = (decision: ClaimDecision): ClaimReply => ({
  ok: decision.ok,
  code: toCodeNumber(decision.code),
  promised: decision.promised,
  accepted: decision.accepted,
  value: decision.value,
});

const makeSetMovedReply = (): ClaimReply => ({
  ok: false,
  code: resultCodes.holderSetMoved.number,
  promised: ZERO_BALLOT,
  accepted: ZERO_BALLOT,
  value: undefined,
});

/**
 * Holds claims for entry VMs. Every promise and every accepted value is synced before the reply, so
 * a holder that restarts has lost nothing and can vote at once.
 *
 * @example
 * const holder = new ClaimHolder(store, () => site.holders, systemClock);
 * await holder.load();
 */
export class ClaimHolder {
  readonly table: ClaimTable = makeClaimTable();

  constructor(
    private readonly store: ClaimStore,
    private readonly readHolders: () => Pick<HolderSet, 'number'>,
    private readonly clock: Clock,
    /** Called when the disk fails: the process must end and cast no more votes. */
    private readonly failStorage: (error: unknown) => void = () => undefined,
    public bounds: ClaimBounds = DEFAULT_CLAIM_BOUNDS,
  ) {}

  /** Reads the claims from disk. */
  async load(): Promise<void> {
    const records = await this.store.load();
    const now = this.clock.now();
    records.forEach((record) => mergeClaim(this.table, record, now));
  }

  /** Handles the first round of a claim. */
  async prepare(request: PrepareClaimRequest): Promise<ClaimReply> {
    if (!this.isCurrent(request.holderSet)) return makeSetMovedReply();
    const ballot = request.ballot ?? ZERO_BALLOT;
    return this.persistAndReply(
      prepareClaim(this.table, this.bounds, request.key, ballot, this.clock.now()),
    );
  }

  /** Handles the second round of a claim. */
  async accept(request: AcceptClaimRequest): Promise<ClaimReply> {
    if (!this.isCurrent(request.holderSet) || !request.value) return makeSetMovedReply();
    const ballot = request.ballot ?? ZERO_BALLOT;
    return this.persistAndReply(
      acceptClaim(this.table, this.bounds, request.key, ballot, request.value, this.clock.now()),
    );
  }

  /**
   * Returns a batch of claims to a new holder, but only once this holder refuses requests of the
   * previous set.
   */
  copy(request: CopyClaimsRequest): CopyClaimsReply {
    if (this.readHolders().number < request.holderSet) {
      return { claims: [], lastKey: '', code: resultCodes.holderSetMoved.number };
    }
    const keys = [...this.table.claims.keys()].sort();
    const start = keys.findIndex((key) => key > request.afterKey);
    const batch = start < 0 ? [] : keys.slice(start, start + COPY_BATCH);
    const wanted = new Set(batch);
    const claims = listClaimRecords(this.table).filter(({ key }) => wanted.has(key));
    return { claims, lastKey: batch.at(-1) ?? '', code: 0 };
  }

  /** Merges and stores claims of another holder. */
  async merge(records: readonly ClaimRecord[]): Promise<void> {
    const now = this.clock.now();
    await Promise.all(records.map((record) => {
      const {
        key, promised, accepted, value,
      } = mergeClaim(this.table, record, now);
      return this.store.append({
        key, promised, accepted, value,
      });
    }));
  }

  /** Removes claims past their retention, and rewrites the file when most of it is stale. */
  async expire(): Promise<void> {
    expireClaims(this.table, this.bounds, this.clock.now());
    if (this.store.needsCompaction) await this.store.compact(() => listClaimRecords(this.table));
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.store.close();
  }

  /*
   * While holders are replaced, a request under the old set could reach a majority that does not
   * overlap with the new set. So a holder that has the new set refuses such a request.
   */
  private isCurrent(holderSet: number): boolean {
    return holderSet === this.readHolders().number;
  }

  private async save(record: ClaimRecord): Promise<void> {
    try {
      await this.store.append(record);
    } catch (error) {
      this.failStorage(error);
      throw error;
    }
  }

  private async persistAndReply(decision: ClaimDecision): Promise<ClaimReply> {
    const reply = toReply(decision);
    if (decision.record) await this.save(decision.record);
    return reply;
  }
}
