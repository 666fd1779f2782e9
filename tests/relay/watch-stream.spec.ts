import {
  afterEach, describe, expect, it,
} from 'vitest';
import {
  SiteClient, SiteService, WatchReply, WatchRequest,
} from '../../src/protocol/generated/beechlift';
import { WatchStream } from '../../src/relay/watchStream';
import { RpcLink } from '../../src/wire/rpcLink';
import { handleStream, RpcServer } from '../../src/wire/rpcServer';
import type { ServerStream } from '../../src/wire/rpcServer';

type Stream = ServerStream<WatchRequest, WatchReply>;

const ask = (
  watchStream: WatchStream,
  revision: number,
  timeoutMs = 2_000,
): Promise<WatchReply> => (
  watchStream.sendRequest(WatchRequest.fromPartial({ workersRevision: revision }), timeoutMs));

describe('WatchStream', () => {
  let server: RpcServer | undefined;
  let link: RpcLink<SiteClient> | undefined;

  const listen = async (
    take: (stream: Stream, request: WatchRequest) => void,
  ): Promise<WatchStream> => {
    server = new RpcServer();
    server.add(SiteService, {
      keepWatch: handleStream((stream: Stream) => stream.listen({
        take: (request) => take(stream, request),
        close: () => undefined,
      })),
    });
    link = new RpcLink(SiteClient, await server.listen('127.0.0.1:0'));
    return new WatchStream(link);
  };

  afterEach(() => {
    link?.close();
    server?.close();
  });

  it('should send several requests over one stream', async () => {
    const watchStream = await listen((stream, { workersRevision }) => (
      stream.send(WatchReply.fromPartial({ workersRevision }))));
    expect((await ask(watchStream, 3)).workersRevision).toBe(3);
    expect((await ask(watchStream, 4)).workersRevision).toBe(4);
  });

  /*
   * A frozen leader answers an open request when it resumes. The entry has opened another stream by
   * then, and the late reply must not be used for a later request.
   */
  it('should end after a request that is not answered in time and ignore its late reply', async () => {
    let frozen: Stream | undefined;
    const watchStream = await listen((stream, { workersRevision }) => {
      if (workersRevision === 1) frozen = stream;
      else stream.send(WatchReply.fromPartial({ workersRevision }));
    });
    await expect(ask(watchStream, 1, 100)).rejects.toThrow('no answer within 100 ms');
    expect(watchStream.isOpen).toBe(false);
    await expect(ask(watchStream, 2)).rejects.toThrow('no answer within 100 ms');
    const next = new WatchStream(link as RpcLink<SiteClient>);
    const answer = ask(next, 5);
    frozen?.send(WatchReply.fromPartial({ workersRevision: 1 }));
    expect((await answer).workersRevision).toBe(5);
  });

  it('should reject the pending request when the replica ends the stream', async () => {
    const watchStream = await listen((stream) => stream.end());
    await expect(ask(watchStream, 1)).rejects.toThrow();
    expect(watchStream.isOpen).toBe(false);
  });
});
