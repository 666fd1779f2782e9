import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { Client, credentials } from '@grpc/grpc-js';
import { SiteClient, SiteService } from '../../src/protocol/generated/beechlift';
import type { PlaceDecisions, PlaceNews } from '../../src/protocol/generated/beechlift';
import { RpcLink } from '../../src/wire/rpcLink';
import { handleStream, RpcServer } from '../../src/wire/rpcServer';
import type { ServerStream } from '../../src/wire/rpcServer';

const MESSAGE: PlaceNews = {
  number: 1, requests: [], reports: [], entryId: '', held: [], sightings: [], served: [], origins: [], leaderAddress: '',
};
const DECISIONS: PlaceDecisions = { acknowledged: 1, replies: [] };
const MALFORMED_MESSAGE = Buffer.from([0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
/** Long enough for a message and its reply. */
const ROUND_TRIP_MS = 200;

const failNow = (): never => {
  throw new Error('cannot take this in');
};

/** Uncaught errors, which would have ended the process. */
const uncaught: Error[] = [];
const recordUncaught = (error: Error): void => {
  uncaught.push(error);
};

/** Sends a message that cannot be decoded; returns the status message that ends the stream. */
const sendMalformed = async (address: string): Promise<string> => {
  const client = new Client(address, credentials.createInsecure());
  const call = client.makeBidiStreamRequest<Buffer, Buffer>(
    SiteService.place.path,
    (bytes) => bytes,
    (bytes) => bytes,
  );
  const ended = new Promise<string>((resolve) => {
    call.on('error', ({ message }) => resolve(message));
    call.on('data', () => undefined);
  });
  call.write(MALFORMED_MESSAGE);
  const reason = await Promise.race([ended, pause(ROUND_TRIP_MS, 'still open')]);
  client.close();
  return reason;
};

describe('a stream whose listener fails', () => {
  let server: RpcServer;
  let link: RpcLink<SiteClient> | undefined;
  let savedListeners: NodeJS.UncaughtExceptionListener[] = [];

  beforeEach(() => {
    server = new RpcServer();
    uncaught.length = 0;
    savedListeners = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', recordUncaught);
  });

  afterEach(() => {
    link?.close();
    server.close();
    process.removeAllListeners('uncaughtException');
    savedListeners.forEach((listener) => process.on('uncaughtException', listener));
  });

  const open = async (
    handleMessage: () => void,
    listener: { take: () => void; close: (error: Error | undefined) => void },
  ) => {
    server.add(SiteService, {
      place: handleStream((stream: ServerStream<PlaceNews, PlaceDecisions>) => stream.listen({
        take: () => {
          handleMessage();
          stream.send(DECISIONS);
        },
        close: () => undefined,
      })),
    });
    const address = await server.listen('127.0.0.1:0');
    link = new RpcLink(SiteClient, address);
    return link.openStream<PlaceNews, PlaceDecisions>((stub) => stub.place.bind(stub), listener);
  };

  // All entries of a site lost their connections at once, because an error while a message was
  // handled ended the process of the leader.
  it('should end with a status that names the failure, without ending the server process', async () => {
    const close = vi.fn<(error: Error | undefined) => void>();
    const stream = await open(failNow, { take: () => undefined, close });
    stream.write(MESSAGE);
    await vi.waitFor(() => expect(close).toHaveBeenCalled());
    expect(close.mock.calls[0]?.[0]?.message).toMatch(/cannot take this in/);
    expect(uncaught).toEqual([]);
  });

  // An error while a reply was handled ended an entry with the connections of all its callers.
  it('should report the failure to its listener, without ending the client process', async () => {
    const close = vi.fn<(error: Error | undefined) => void>();
    const stream = await open(() => undefined, { take: failNow, close });
    stream.write(MESSAGE);
    await vi.waitFor(() => expect(close).toHaveBeenCalledOnce());
    await pause(ROUND_TRIP_MS);
    expect(close.mock.calls[0]?.[0]?.message).toBe('cannot take this in');
    expect(close).toHaveBeenCalledOnce();
    expect(uncaught).toEqual([]);
  });

  // A message was corrupted in transit.
  it('should refuse a message that cannot be decoded', async () => {
    server.add(SiteService, {
      place: handleStream((stream: ServerStream<PlaceNews, PlaceDecisions>) => (
        stream.listen({ take: () => stream.send(DECISIONS), close: () => undefined }))),
    });
    const address = await server.listen('127.0.0.1:0');
    expect(await sendMalformed(address)).toMatch(/deserializing/);
    expect(uncaught).toEqual([]);
  });

  // A client of another protocol connects to the port of a control replica.
  it('should withstand bytes that are not gRPC calls', async () => {
    const address = await server.listen('127.0.0.1:0');
    const [host = '', port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => undefined); // Closed by the server.
    socket.write(Buffer.alloc(4_096, 0x7f));
    await pause(ROUND_TRIP_MS);
    socket.resetAndDestroy();
    await pause(ROUND_TRIP_MS);
    expect(uncaught).toEqual([]);
  });
});
