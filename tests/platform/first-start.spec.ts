import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { waitFor } from '../fakes/controlSite';
import { PlatformSite } from '../fakes/platformSite';

const REPLICAS = [1, 2, 3];
const KILLED = 3;
/** Before the program has stored anything, in milliseconds. */
const KILL_AFTER_MS = 50;
const DOWN_MS = 500;

describe('the first start on the platform', () => {
  let site: PlatformSite | undefined;

  afterEach(async () => {
    await site?.close();
  });

  // Fault: a replica that was killed while its program loaded returns without the declaration of a
  // first start, and made the founders join a site that no one had founded.
  it.each([false, true])('should accept a document after a kill of one replica that returns with the declaration: %s', async (isFirstStart) => {
    const started = await PlatformSite.open();
    site = started;
    REPLICAS.forEach((machine) => started.startControl(machine, true));
    await pause(KILL_AFTER_MS);
    await started.endProcess(`control-${KILLED}`, 'SIGKILL');
    await pause(DOWN_MS);
    started.startControl(KILLED, isFirstStart);
    const document = { version: 1, routes: [], services: [] };
    await started.publish(document);
    const isRead = async () => (
      (await Promise.all(REPLICAS.map((machine) => started.readDocument(machine))))
        .every((text) => text === JSON.stringify(document)));
    await waitFor(() => isRead().catch(() => false), 'all replicas return the document');
    expect(await started.findLeader()).toBeGreaterThan(0);
  });
});
