import { describe, expect, it } from 'vitest';
import { decodeCommand, decodeDeparture, encodeDeparture } from '../../src/control/documentCommand';
import { addDeparture, NO_DEPARTURES, parseDepartures } from '../../src/core/routing/departures';
import { NO_DOCUMENT, parseSiteDocument } from '../../src/core/routing/siteDocument';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const makeRecord = (workerId: string, standing: string, sequence: number, born = 5) => (
  WorkerRecord.fromPartial({
    said: {
      workerId, service: 'rooms', address: `${workerId}:80`, slots: 1, state: standing, sequence, born,
    },
    standing,
  }));

const addAll = (...records: readonly WorkerRecord[]) => records.reduce(addDeparture, NO_DEPARTURES);

describe('the departures that replicas agreed on', () => {
  it('should keep the latest of each server, and what is gone', () => {
    expect(addAll(makeRecord('a', 'draining', 2), makeRecord('a', 'draining', 1)).get('a')?.said?.sequence).toBe(2);
    expect(addAll(makeRecord('a', 'gone', 2), makeRecord('a', 'draining', 3)).get('a')?.standing).toBe('gone');
    expect(addAll(makeRecord('a', 'gone', 9), makeRecord('a', 'draining', 1, 6)).get('a')?.standing).toBe('draining');
  });

  // What grows has a bound: it is part of each snapshot.
  it('should drop the oldest of more than a thousand', () => {
    const records = Array.from({ length: 1_001 }, (unused, position) => makeRecord(`w${position}`, 'gone', 1));
    const departures = addAll(...records);
    expect([departures.size, departures.has('w0'), departures.has('w1000')]).toEqual([1_000, false, true]);
  });

  it('should come back from a snapshot, beside the document', () => {
    const departures = addAll(makeRecord('a', 'draining', 2), makeRecord('b', 'gone', 7));
    const site = { version: 3, digest: 'd', document: 'text' };
    const data = JSON.stringify({ ...site, departures: [...departures.values()] });
    expect(parseDepartures(data)).toEqual(departures);
    expect(parseSiteDocument(data)).toEqual({ ...site, version: 3n });
    expect([parseDepartures(''), parseDepartures(JSON.stringify(site))])
      .toEqual([NO_DEPARTURES, NO_DEPARTURES]);
  });

  // A replica of an earlier release applies each command as one with a document.
  it('should not change the document of an earlier release', () => {
    const record = makeRecord('a', 'gone', 2);
    const command = encodeDeparture(record);
    expect(decodeDeparture(command)).toEqual(record);
    expect(decodeCommand(command)).toEqual({ version: NO_DOCUMENT.version, document: '' });
  });
});
