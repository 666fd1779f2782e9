import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { FATAL_TEXT, RESET_TEXT } from '../fakes/fragileServer';
import { RoutedSite } from '../fakes/routedSite';

const SERVERS = 5;
const ENTRIES = 3;
const SENDS = 30;
const GAP_MS = 75;
/** Three that end servers, those under way while news of the third travel, and three repeats. */
const MOST_SENDS = 8;

describe('a request that ends every server that runs it', () => {
  let site: RoutedSite | undefined;

  const start = async (isEngine: boolean, keepsId = false): Promise<RoutedSite> => {
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine }],
    }, ENTRIES);
    await site.addServers(SERVERS, keepsId);
    return site;
  };

  const sendInTurn = async (started: RoutedSite, body: string, count: number): Promise<void> => {
    const sends = Array.from({ length: count }, async (unused, position) => {
      await pause(position * GAP_MS);
      await started.send(position, body);
    });
    await Promise.all(sends);
  };

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  const judgeSends = async (started: RoutedSite): Promise<void> => {
    await sendInTurn(started, FATAL_TEXT, SENDS);
    const before = started.fatalCount;
    expect(before).toBeLessThanOrEqual(MOST_SENDS);
    const answers = await Promise.all(
      Array.from({ length: ENTRIES }, (unused, entry) => started.send(entry, FATAL_TEXT)),
    );
    expect(answers.map(({ status, code }) => `${status} ${code}`))
      .toEqual(Array.from({ length: ENTRIES }, () => '503 requestQuarantined'));
    expect(started.fatalCount).toBe(before);
    expect((await started.send(0, 'harmless')).status).toBe(200);
  };

  // Guards against a request that comes again at any entry and ends one engine after another.
  it('should reach few engines, and none once three have ended under it', async () => {
    await judgeSends(await start(true));
  });

  // Guards against the same at servers that entries choose without asking the leader.
  it('should reach few plain servers, and none once three have ended under it', async () => {
    await judgeSends(await start(false));
  });

  // Guards honest requests against connections that are reset by servers which live.
  it('should suspect no request whose connections were reset at servers that live', async () => {
    const started = await start(true);
    await sendInTurn(started, RESET_TEXT, 6);
    expect(await started.listSuspects()).toEqual([]);
    expect((await started.send(0, RESET_TEXT)).code).toBe('outcomeUnknown');
  });
});
