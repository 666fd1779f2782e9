import { describe, expect, it } from 'vitest';
import { Newcomers } from '../../src/control/newcomers';

const makeReplica = (id: string, address: string) => ({ id, address, zone: 'a' });

describe('replicas that ask to take part', () => {
  // A machine lost its disk twice within two seconds. The birth in between was taken for one that
  // replaces the newer, which counted as lost until it was forgotten.
  it('should forget a birth once another one asks at its address', () => {
    const newcomers = new Newcomers();
    newcomers.note(makeReplica('c2', 'c'), 0);
    newcomers.note(makeReplica('d2', 'd'), 100);
    newcomers.note(makeReplica('c3', 'c'), 200);
    expect(newcomers.list(300).map(({ id }) => id)).toEqual(['d2', 'c3']);
  });
});
