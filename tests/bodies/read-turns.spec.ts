import { EventEmitter } from 'node:events';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { ReadTurns } from '../../src/bodies/readTurns';

/** A connection that is resumed by its HTTP server at any time. */
class TestSocket extends EventEmitter {
  readonly destroyed = false;

  isPaused = false;

  pause(): this {
    this.isPaused = true;
    return this;
  }

  resume(): this {
    this.isPaused = false;
    this.emit('resume');
    return this;
  }
}

const sendPieces = (turns: ReadTurns, socket: TestSocket, count: number): void => {
  Array.from({ length: count }).forEach(() => turns.recordPiece(socket, 1));
};

describe('the turns of connections that send bodies', () => {
  it('should pause a connection that uses up a turn until its next one', async () => {
    const [turns, socket] = [new ReadTurns(), new TestSocket()];
    sendPieces(turns, socket, 10_000);
    socket.resume();
    expect(socket.isPaused).toBe(true);
    await nextTurn();
    expect(socket.isPaused).toBe(false);
  });

  it('should resume one connection a turn, the one that waits longest', async () => {
    const turns = new ReadTurns();
    const sockets = Array.from({ length: 3 }, () => new TestSocket());
    sockets.forEach((socket) => sendPieces(turns, socket, 10_000));
    const orders = [];
    for (let turn = 0; turn < 3; turn += 1) {
      // eslint-disable-next-line no-await-in-loop -- One turn after the other.
      await nextTurn();
      orders.push(sockets.map(({ isPaused }) => isPaused));
    }
    expect(orders).toEqual([[false, true, true], [false, false, true], [false, false, false]]);
  });

  it('should not pause connections that send ordinary bodies', () => {
    const [turns, socket] = [new ReadTurns(), new TestSocket()];
    sendPieces(turns, socket, 100);
    expect(socket.isPaused).toBe(false);
  });

  it('should forget a connection that has closed', async () => {
    const turns = new ReadTurns();
    const [gone, next] = [new TestSocket(), new TestSocket()];
    [gone, next].forEach((socket) => sendPieces(turns, socket, 10_000));
    gone.emit('close');
    await nextTurn();
    expect([gone.isPaused, next.isPaused]).toEqual([true, false]);
  });
});
