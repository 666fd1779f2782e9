import { describe, expect, it } from 'vitest';
import { ClaimClient } from '../../src/entry/sending/claimClient';
import { resultCodes } from '../../src/errors/resultCodes';
import { ClaimReply, ClaimValue } from '../../src/protocol/generated/beechlift';
import type { ControlClient, HolderSet } from '../../src/protocol/generated/beechlift';
import { Operation } from '../../src/utils/operation';
import type { LinkTable } from '../../src/wire/linkTable';

const IDS = ['c1', 'c2', 'c3'];
const HOLDERS: HolderSet = {
  number: 1, previous: [], current: IDS.map((id) => ({ id, address: id, zone: id })),
};
const AGREED = ClaimReply.fromPartial({ ok: true });
const OUTBID = ClaimReply.fromPartial({ ok: false, code: resultCodes.ballotTooLow.number });
const VALUE = ClaimValue.fromPartial({ state: 'dispatched', streamId: 's1' });

type Method = 'prepare' | 'accept';

/** The holders' answers, one function per attempt; the last one applies to all later attempts. */
type Script = readonly ((holder: string) => ClaimReply | undefined)[];

/** Links to holders that agree to every prepare and answer each accept as the script defines. */
const makeLinks = (script: Script): LinkTable<ControlClient> => {
  const stub = { prepareClaim: { bind: () => 'prepare' }, acceptClaim: { bind: () => 'accept' } };
  const counts = new Map<string, number>();
  const answerAccept = (holder: string): ClaimReply | undefined => {
    const attempt = counts.get(holder) ?? 0;
    counts.set(holder, attempt + 1);
    return script[Math.min(attempt, script.length - 1)]?.(holder);
  };
  const find = (holder: string) => ({
    call: async (pick: (from: typeof stub) => Method): Promise<ClaimReply> => {
      const reply = pick(stub) === 'prepare' ? AGREED : answerAccept(holder);
      if (!reply) throw new Error('no answer in time');
      return reply;
    },
  });
  return { find } as unknown as LinkTable<ControlClient>;
};

const writeClaim = async (script: Script, operation: Operation): Promise<void> => {
  const client = new ClaimClient('e1', makeLinks(script), () => HOLDERS, async () => undefined);
  await client.accept(await client.prepare('kiosks\nroom-17', operation), VALUE, operation);
};

const makeOperation = (): Operation => new Operation({ timeoutMs: 60_000 });

describe('the writing of a claim', () => {
  // A request must not be refused because its holders are slow for a moment.
  it('should be tried again when holders do not answer in time', async () => {
    await expect(writeClaim([() => undefined, () => AGREED], makeOperation()))
      .resolves.toBeUndefined();
  });

  // A request must not be dispatched under a claim that another entry has taken over.
  it('should fail when another entry took over the claim before it was tried again', async () => {
    await expect(writeClaim([() => undefined, () => OUTBID], makeOperation()))
      .rejects.toMatchObject({ code: 'superseded' });
  });

  // Attempts must not go on for ever, nor after the caller disconnected.
  it('should stop after a limited number of attempts, or once its operation is cancelled', async () => {
    await expect(writeClaim([() => undefined], makeOperation()))
      .rejects.toMatchObject({ code: 'claimUnavailable' });
    const cancelled = makeOperation();
    const cancel = (): undefined => {
      cancelled.cancel('caller gone');
    };
    await expect(writeClaim([cancel, () => AGREED], cancelled))
      .rejects.toMatchObject({ code: 'claimUnavailable' });
  });
});
