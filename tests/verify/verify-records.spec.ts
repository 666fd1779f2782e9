import { describe, expect, it } from 'vitest';
import { parseRecords } from '../../src/verify/records';
import type { VerifyRecord } from '../../src/verify/records';
import { verifyRecords } from '../../src/verify/verifyRecords';

const makeSent = (request: string): VerifyRecord => ({
  kind: 'sent', request, identity: 'kiosks/room-1', prompt: 'issue a room',
});
const answer = (request: string, fields: object = {}): VerifyRecord => ({
  kind: 'answer', request, status: 200, run: '', text: 'room 17', expected: 'room 17', ...fields,
});
const dispatch = (stream: string): VerifyRecord => ({
  kind: 'dispatch', engine: 'g1', stream, prompt: 'issue a room',
});
const listBroken = (records: readonly VerifyRecord[]) => (
  verifyRecords(records).map(({ invariant }) => invariant));

describe('the check of records', () => {
  it('should find no violation in a request that was resent and answered', () => {
    const records = [makeSent('r1'), dispatch('s1'), answer('r1', { status: 0, run: 'unknown' }), makeSent('r2'), answer('r2')];
    expect(listBroken(records)).toEqual([]);
  });

  it.each([
    ['a second dispatch', [makeSent('r1'), dispatch('s1'), dispatch('s2'), answer('r1')], 'dispatchedOnce'],
    ['an answer of another', [makeSent('r1'), dispatch('s1'), answer('r1', { text: 'room 18' })], 'wholeAndOwn'],
    ['a false "not run"', [makeSent('r1'), dispatch('s1'), answer('r1', { status: 503, run: 'notRun' })], 'notRunIsTrue'],
    ['a lost request', [makeSent('r1'), dispatch('s1')], 'answered'],
    ['two different answers', [makeSent('r1'), dispatch('s1'), answer('r1'), makeSent('r2'), answer('r2', { text: 'x', expected: 'x' })], 'sameForResend'],
  ])('should find %s', (title, records, invariant) => {
    expect(listBroken(records)).toContain(invariant);
  });

  it('should name the line that is not a record', () => {
    expect(() => parseRecords('{"kind":"sent"}')).toThrow(/line 1/);
    expect(() => parseRecords(`${JSON.stringify(makeSent('r1'))}\nx`)).toThrow(/line 2/);
  });
});
