import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  describe, expect, it, vi,
} from 'vitest';
import { CallerConnections } from '../../src/relay/callerConnections';

/** More than may wait behind others. */
const CROWD = 101;

/** A connection, and the response to each request on it. */
class TestConnection extends EventEmitter {
  destroyed = false;

  readonly destroy = vi.fn(() => {
    this.destroyed = true;
    this.emit('close');
  });

  /** Sends a request, if the connection may have another one; returns its response. */
  send(connections: CallerConnections): EventEmitter | undefined {
    const socket = this as unknown as Socket;
    const response = Object.assign(new EventEmitter(), {
      writableFinished: false, destroyed: false,
    });
    const answer = response as unknown as ServerResponse;
    if (!connections.tryBegin(socket, answer)) return undefined;
    connections.waitTurn(socket, answer).catch(() => undefined);
    connections.registerRequest(socket, answer, 0);
    return response;
  }
}

/** Makes connections on which many requests wait behind others. */
const makeCrowd = (connections: CallerConnections): readonly TestConnection[] => (
  Array.from({ length: CROWD }, () => {
    const connection = new TestConnection();
    connection.send(connections);
    connection.send(connections);
    return connection;
  }));

describe('requests that wait behind others on their connections', () => {
  // Fault: all of them were kept, whatever their number.
  it('should end the connection of a caller that sends more while many wait', () => {
    const connections = new CallerConnections();
    const [first] = makeCrowd(connections);
    expect(first?.send(connections)).toBeUndefined();
    expect(first?.destroyed).toBe(true);
  });

  it('should be one behind another for every caller while many wait', () => {
    const connections = new CallerConnections();
    makeCrowd(connections);
    const ordinary = new TestConnection();
    expect([ordinary.send(connections), ordinary.send(connections)]).not.toContain(undefined);
    expect(ordinary.destroyed).toBe(false);
  });

  it('should be accepted again once those before them were answered', async () => {
    const connections = new CallerConnections();
    const crowd = makeCrowd(connections);
    crowd.forEach((connection) => connection.destroy());
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const ordinary = new TestConnection();
    const sent = Array.from({ length: 5 }, () => ordinary.send(connections));
    expect(sent).not.toContain(undefined);
  });
});
