import { Server as NetServer } from 'node:net';
import type { Server } from 'node:http';
import { setImmediate as readPendingInput, setTimeout as pause } from 'node:timers/promises';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { LeavingPeriod } from './leavingPeriod';
import type { OpenRequests } from './openRequests';

/** Fraction of the grace period after which the port closes, even if callers may still connect. */
const LOCATE_FRACTION = 0.5;
/** Fraction of the grace period after which requests that are at no server are refused. */
const ANSWER_FRACTION = 0.9;
/** The same for requests at a server that have no started answer: they may have run. */
const START_FRACTION = 0.93;
/** Fraction of the grace period after which streams are aborted; the rest is for the exit. */
const STREAM_FRACTION = 0.95;
/** Time without a request, in milliseconds, before callers' open connections are closed. */
const QUIET_PERIOD_MS = 200;

/** Dependencies and time limits of a shutdown. */
export interface RelayShutdownParts {
  readonly site: { readonly leaving: Pick<LeavingPeriod, 'begin'> };
  /** Accepts the connections of callers. */
  readonly server: Server;
  readonly openRequests: OpenRequests;
  /** Reports to the control leader that this entry shuts down. */
  readonly announceLeaving: () => Promise<void>;
  /** How long callers may cache the addresses of entries, in milliseconds. */
  readonly locateMs: number;
  /** How long the shutdown may take, in milliseconds. */
  readonly graceMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Shuts an entry down without leaving a request unanswered. New callers are sent to other entries
 * from the start. Callers that have cached this entry's address are still served for a while, if
 * their answers can end in time. Requests that have no answer at the end of the grace period get
 * an error.
 *
 * @example
 * await new RelayShutdown(parts).run();
 */
export class RelayShutdown {
  constructor(private readonly parts: RelayShutdownParts) {}

  /** Resolves once no request is open. */
  async run(): Promise<void> {
    const {
      site, server, openRequests, announceLeaving, locateMs, graceMs, clock, logger,
    } = this.parts;
    const startedAt = clock.now();
    const readRemainingMs = (
      fraction: number,
    ): number => startedAt + fraction * graceMs - clock.now();
    site.leaving.begin(startedAt + ANSWER_FRACTION * graceMs, startedAt + locateMs);
    logger.info('entry shuts down', { graceMs });
    await announceLeaving().catch((error: unknown) => logger.error('the shutdown was not reported to the leader', { reason: String(error) }));
    await pause(Math.max(0, Math.min(locateMs, readRemainingMs(LOCATE_FRACTION))));
    // `http.Server.close` would destroy connections whose answers are ended but not fully written.
    NetServer.prototype.close.call(server);
    await this.waitQuiet(() => readRemainingMs(ANSWER_FRACTION));
    // Refuses the requests that are still open when the grace period ends.
    logger.info('entry closes its connections', { tookMs: Math.round(clock.now() - startedAt), open: openRequests.count });
    openRequests.refuseAll('unsent');
    await openRequests.waitIdle(readRemainingMs(START_FRACTION));
    // The rest of the grace is for streams, and for errors to be written.
    openRequests.refuseAll();
    await openRequests.waitIdle(readRemainingMs(STREAM_FRACTION));
    // Refuses requests that arrived meanwhile.
    openRequests.refuseAll();
    openRequests.abortAll();
    server.closeAllConnections();
  }

  /*
   * Waits until callers send no more requests. Callers whose last answer did not announce the end
   * of the connection may send another request, which must be answered before the connection
   * closes. Input that arrived while this process was busy is read first, as timers run before
   * sockets.
   */
  private async waitQuiet(readRemainingMs: () => number): Promise<void> {
    const { openRequests } = this.parts;
    await openRequests.waitIdle(readRemainingMs());
    const { acceptedCount } = openRequests;
    await pause(Math.max(0, Math.min(QUIET_PERIOD_MS, readRemainingMs())));
    await readPendingInput();
    // A request that arrived in the turn in which the last one ended was counted above and is open.
    const isQuiet = openRequests.count === 0 && openRequests.acceptedCount === acceptedCount;
    if (!isQuiet && readRemainingMs() > 0) await this.waitQuiet(readRemainingMs);
  }
}
