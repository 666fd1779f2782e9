import { describe, expect, it } from 'vitest';
import { BegunStreams } from '../../src/relay/begunStreams';

const ORIGIN = { service: 'rooms', software: 'v1' };
const DEADLINE_AT = 10_000;

const add = (streams: BegunStreams, id: string, isKnown: boolean): void => (
  streams.add({ ids: [id], origin: ORIGIN, deadlineAt: DEADLINE_AT }, isKnown));

const listReported = (streams: BegunStreams): string[] => (
  streams.takeUnreported(0).map(({ requestId }) => requestId));

describe('the streams that an entry began', () => {
  it('should be reported once if the leader did not choose their servers', () => {
    const streams = new BegunStreams();
    add(streams, 'placed', true);
    add(streams, 'own', false);
    expect([listReported(streams), listReported(streams)]).toEqual([['own'], []]);
  });

  // A new leader knows none of the slots that the earlier one granted.
  it('should all be reported to a new leader', () => {
    const streams = new BegunStreams();
    add(streams, 'placed', true);
    add(streams, 'own', false);
    listReported(streams);
    streams.markUnreported();
    expect(listReported(streams)).toEqual(['placed', 'own']);
  });

  // An entry may be without a leader for long and must not fill its memory meanwhile.
  it('should be bounded while there is no leader, without the oldest', () => {
    const streams = new BegunStreams();
    Array.from({ length: 5_001 }, (unused, number) => add(streams, `s${number}`, false));
    const reported = listReported(streams);
    expect([reported.length, reported[0]]).toEqual([5_000, 's1']);
    expect(streams.find('s0', 0)).toEqual(ORIGIN);
  });
});
