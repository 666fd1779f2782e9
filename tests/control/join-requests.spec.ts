import { describe, expect, it } from 'vitest';
import { JoinRequests } from '../../src/control/joinRequests';

const makeReplica = (id: string, address: string) => ({ id, address, zone: 'a' });

describe('join requests of replicas', () => {
  // A machine lost its disk twice within two seconds. The join request of the second identity then
  // seemed to replace the third one, which counted as lost until that request expired.
  it('should drop the request of an identity once another one asks at its address', () => {
    const joinRequests = new JoinRequests();
    joinRequests.record(makeReplica('c2', 'c'), 0);
    joinRequests.record(makeReplica('d2', 'd'), 100);
    joinRequests.record(makeReplica('c3', 'c'), 200);
    expect(joinRequests.list(300).map(({ id }) => id)).toEqual(['d2', 'c3']);
  });
});
