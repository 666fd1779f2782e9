import { Server as NetServer } from 'node:net';
import type { Server } from 'node:http';
import { setImmediate as readWaiting, setTimeout as pause } from 'node:timers/promises';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { OpenRequests } from './openRequests';
import type { RelaySite } from './relaySite';

/** Part of the grace after which callers that were told of this entry are taken no more. */
const LOCATE_FRACTION = 0.5;
/** Part of the grace after which requests without the beginning of an answer are given up. */
const ANSWER_FRACTION = 0.9;
/** Part of the grace after which streams are broken off; the rest is for the process to end. */
const STREAM_FRACTION = 0.95;
/** How long no request must come before the connections that callers keep are closed. */
const QUIET_PERIOD_MS = 200;

/** What a shutdown needs. */
export interface RelayShutdownParts {
  readonly site: Pick<RelaySite, 'beginLeaving'>;
  /** Takes callers. */
  readonly server: Server;
  readonly openRequests: OpenRequests;
  /** Tells the leader of control that this entry leaves. */
  readonly announceLeaving: () => Promise<void>;
  /** How long callers may use an answer to where they should connect, in milliseconds. */
  readonly locateMs: number;
  /** How long the shutdown may take, in milliseconds. */
  readonly graceMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Ends an entry without leaving a request unanswered. Callers are no longer sent here from the
 * first moment; those that were keep what they were told for a while, and are served meanwhile as
 * far as their answers end in time. Whoever has no answer when the grace runs out is told so.
 *
 * @example
 * await new RelayShutdown(parts).run();
 */
export class RelayShutdown {
  constructor(private readonly parts: RelayShutdownParts) {}

  /** Resolves when no request is open. */
  async run(): Promise<void> {
    const {
      site, server, openRequests, announceLeaving: announceLeaving, locateMs, graceMs, clock, logger,
    } = this.parts;
    const startedAt = clock.now();
    const readRemainingMs = (fraction: number): number => startedAt + fraction * graceMs - clock.now();
    site.beginLeaving(startedAt + ANSWER_FRACTION * graceMs);
    logger.info('entry leaves', { graceMs });
    await announceLeaving().catch((error: unknown) => logger.error('the leader was not told', { reason: String(error) }));
    await pause(Math.max(0, Math.min(locateMs, readRemainingMs(LOCATE_FRACTION))));
    // The server's own close would destroy connections whose answers are ended, but not written.
    NetServer.prototype.close.call(server);
    await this.waitQuiet(() => readRemainingMs(ANSWER_FRACTION));
    // Those that are open now are given up as the grace runs out.
    logger.info('entry closes its connections', { tookMs: Math.round(clock.now() - startedAt), open: openRequests.count });
    openRequests.endAll();
    await openRequests.waitIdle(readRemainingMs(STREAM_FRACTION));
    // Requests that came meanwhile are told as well.
    openRequests.endAll();
    openRequests.abortAll();
    server.closeAllConnections();
  }

  /*
   * Guards callers whose answers did not announce that the connection ends: their next request is
   * answered rather than met by the close. What came while this process was held up is read first,
   * as timers run before sockets.
   */
  private async waitQuiet(readRemainingMs: () => number): Promise<void> {
    const { openRequests } = this.parts;
    await openRequests.waitIdle(readRemainingMs());
    const { acceptedCount: acceptedCount } = openRequests;
    await pause(Math.max(0, Math.min(QUIET_PERIOD_MS, readRemainingMs())));
    await readWaiting();
    // One that came in the turn in which the last one ended is open, and was counted before.
    const isQuiet = openRequests.count === 0 && openRequests.acceptedCount === acceptedCount;
    if (!isQuiet && readRemainingMs() > 0) await this.waitQuiet(readRemainingMs);
  }
}
