import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import type { Routing } from '../../src/manifest/routing';
import { WorkerConnections } from '../../src/relay/workerConnections';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\nconnection: close\r\n\r\n';

const fail: ServerScript = (socket) => sendAnswer(socket, 'r1', 'broken', 500);

describe('a failure status of a server', () => {
  let rig: RelayRig;

  const start = async (changes: Partial<Routing>, ...scripts: ServerScript[]): Promise<void> => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ kind: 'idempotent' })], ...changes }), scripts);
  };

  afterEach(() => rig.close());

  // The answer must not be discarded for a retry that is then not allowed.
  it('should be passed on if the service has no retries left', async () => {
    await start({}, fail, fail);
    vi.spyOn(rig.site.retries, 'take').mockReturnValue(false);
    expect(await rig.send(REQUEST, 2_500)).toMatch(/^HTTP\/1.1 500 [^]*broken$/);
    expect(rig.received).toHaveLength(1);
  });
});

describe('a request under which a server broke off', () => {
  let rig: RelayRig;

  afterEach(async () => {
    vi.restoreAllMocks();
    await rig.close();
  });

  // Fault: the entry shut down while it checked whether the server had crashed, and refused the
  // request as not run.
  it('should never be refused as not run', async () => {
    const routing = makeRouting({ routes: [makeRoute({ kind: 'nonIdempotent' })] });
    rig = await RelayRig.start(routing, [(socket) => socket.destroy()]);
    const lookedUp = vi.spyOn(WorkerConnections.prototype, 'hasEnded')
      .mockReturnValue(new Promise(() => {}));
    const asked = rig.send(REQUEST, 500);
    await vi.waitFor(() => expect(lookedUp).toHaveBeenCalled(), { interval: 2 });
    rig.site.leaving.begin(0, 0);
    rig.openRequests.refuseAll();
    expect(await asked).toMatch(/^HTTP\/1.1 502 /);
  });
});
