import { describe, expect, it } from 'vitest';
import { AnnouncementValidator } from '../../src/control/announcementValidator';
import { applyDocument, NO_DOCUMENT } from '../../src/core/routing/siteDocument';
import { makeWorkerTable, applyAnnouncement } from '../../src/core/routing/workerTable';
import { BeechliftError } from '../../src/errors/beechliftError';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { makeRouting } from '../fakes/routings';

const makeAnnouncement = (workerId: string, service: string): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({
    workerId, service, address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', sequence: 1,
  }));

const makeValidator = (site = NO_DOCUMENT) => {
  const table = makeWorkerTable('e');
  const validator = new AnnouncementValidator({
    readSite: () => site,
    readTable: () => table,
    readRouting: () => ({ routing: makeRouting({}), faults: [] }),
    logger: makeLogger('test', 'silent'),
  });
  return { validator, table };
};

describe('announcements of another writer', () => {
  const site = applyDocument(NO_DOCUMENT, { version: 3n, document: 'any' }, 'digest');
  const [{ name: routed } = { name: '' }] = makeRouting({}).services;

  /*
   * Another writer announces a server of a service without a route, at the address of a working
   * server. The working one counted as gone, as another server claimed its address, and got no
   * requests.
   */
  it('should be refused for a service without a route, and not claim the address of a server', () => {
    const { validator, table } = makeValidator(site);
    applyAnnouncement(table, makeAnnouncement('good', routed), 0);
    expect(() => validator.check(makeAnnouncement('forged', 'elsewhere'))).toThrow(expect.objectContaining({ code: 'unknownService' }));
    expect(() => validator.check(makeAnnouncement('good', '__proto__'))).toThrow(expect.objectContaining({ code: 'unknownService' }));
    expect(table.workers.get('good')?.standing).toBe('ready');
    expect(() => validator.check(makeAnnouncement('other', routed))).not.toThrow();
  });

  // After a document removes a service, its servers must still be able to announce their departure.
  it('should be accepted from a server registered for the service, and before the first document', () => {
    const { validator, table } = makeValidator(site);
    applyAnnouncement(table, makeAnnouncement('good', 'dropped'), 0);
    expect(() => validator.check(makeAnnouncement('good', 'dropped'))).not.toThrow();
    expect(() => makeValidator().validator.check(makeAnnouncement('early', 'not known yet'))).not.toThrow();
  });

  it('should be counted by code', () => {
    const { validator } = makeValidator(site);
    validator.countRefusal(new BeechliftError('announcementInvalid', '/born: must be integer'), 'w1');
    validator.countRefusal(new BeechliftError('announcementInvalid', '/slots: must be integer'), 'w1');
    validator.countRefusal(new BeechliftError('malformedJson', 'no JSON'), 'w2');
    expect([...validator.refusalCounts]).toEqual([['announcementInvalid', 2], ['malformedJson', 1]]);
  });
});
