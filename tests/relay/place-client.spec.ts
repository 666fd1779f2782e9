import { describe, expect, it } from 'vitest';
import { PlaceReply, PlaceRequest } from '../../src/protocol/generated/beechlift';
import type { PlaceManyReply, PlaceManyRequest, SiteClient } from '../../src/protocol/generated/beechlift';
import { PlaceClient } from '../../src/relay/placeClient';
import { makeLogger } from '../../src/telemetry/logger';
import type { RpcLink } from '../../src/wire/rpcLink';

type Script = (request: PlaceManyRequest, call: number) => PlaceManyReply;

/** A leader that answers by a script and notes what it was asked. */
class ScriptedLeader {
  readonly calls: string[][] = [];

  constructor(private readonly script: Script) {}

  /** The link as an entry uses it. */
  get link(): RpcLink<SiteClient> {
    const call = async (unused: unknown, request: PlaceManyRequest): Promise<PlaceManyReply> => {
      this.calls.push(request.requests.map(({ placeId }) => placeId));
      return this.script(request, this.calls.length);
    };
    return { call } as unknown as RpcLink<SiteClient>;
  }
}

const makeClient = (leader: ScriptedLeader): PlaceClient => new PlaceClient({
  findLeader: () => leader.link, clock: { now: () => 0 }, logger: makeLogger('test', 'silent'),
});

const makeAsk = (placeId: string): PlaceRequest => PlaceRequest.fromPartial({ placeId });

describe('asking the leader for places', () => {
  /*
   * After a restart of all, a hundred requests that had been held came to the new leader at once,
   * each as a call of its own. It took longer over them than an entry waits for a sign of life.
   */
  it('should ask for requests of one moment in one call, and give each its own answer', async () => {
    const leader = new ScriptedLeader(({ requests }) => ({
      replies: requests.map(({ placeId }) => PlaceReply.fromPartial({ workerId: `for-${placeId}` })),
    }));
    const client = makeClient(leader);
    const ids = Array.from({ length: 20 }, (unused, count) => `p${count}`);
    const replies = await Promise.all(ids.map((id) => client.place(makeAsk(id), 1_000)));
    expect(leader.calls).toEqual([ids]);
    expect(replies.map((reply) => reply?.workerId)).toEqual(ids.map((id) => `for-${id}`));
  });

  it('should ask again for those alone that still wait', async () => {
    const leader = new ScriptedLeader(({ requests }, call) => ({
      replies: requests.map(({ placeId }) => PlaceReply.fromPartial({
        waiting: call === 1 && placeId === 'b', workerId: 'w',
      })),
    }));
    const client = makeClient(leader);
    await Promise.all(['a', 'b'].map((id) => client.place(makeAsk(id), 1_000)));
    expect(leader.calls).toEqual([['a', 'b'], ['b']]);
  });

  it('should leave the choice to the entry when the leader does not answer', async () => {
    const leader = new ScriptedLeader(() => {
      throw new Error('no answer');
    });
    const client = makeClient(leader);
    const replies = await Promise.all(['a', 'b'].map((id) => client.place(makeAsk(id), 1_000)));
    expect(replies).toEqual([undefined, undefined]);
    expect(await client.place(makeAsk('c'), 1_000)).toBeUndefined();
    expect(leader.calls).toHaveLength(1);
  });
});
