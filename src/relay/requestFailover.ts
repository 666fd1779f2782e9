import { setImmediate as readPendingInput } from 'node:timers/promises';
import type { Route } from '../manifest/routing';
import type { RequestLog } from './requestLog';
import type { UpstreamCall } from './upstreamCall';
import type { PickedWorker } from './pickRequest';

/** Time without an answer after which a server counts as unresponsive, in target latencies. */
const SILENCE_TARGET_FACTOR = 2.5;
/** Lower bound on that time, in milliseconds. */
const MIN_SILENCE_MS = 250;

/**
 * Computes the time without an answer after which a server counts as unresponsive, in milliseconds.
 *
 * @example
 * setTimeout(() => this.handleSilence(prepared, worker, call), computeSilenceMs(route));
 */
export const computeSilenceMs = ({ targetLatencyMs }: Route): number => (
  Math.max(MIN_SILENCE_MS, SILENCE_TARGET_FACTOR * targetLatencyMs));

/** Callbacks of the request that a failover belongs to. */
export interface RequestFailoverParts {
  readonly log: Pick<RequestLog, 'logSilentWait'>;
  /** Finds another server; resolves with undefined once `isUnneeded` holds or the request ended. */
  readonly pickWorker: (isUnneeded: () => boolean) => Promise<PickedWorker | undefined>;
  /** Releases a slot that is not used. */
  readonly releasePicked: (picked: PickedWorker) => void;
  /** Reserves a retry; returns whether a send to the given server is certain to be allowed. */
  readonly reserveRetry: (picked: PickedWorker) => boolean;
  /** Returns whether the given call is still the current one of the request. */
  readonly isCurrentCall: (call: UpstreamCall) => boolean;
  /** Returns whether the request no longer needs an answer. */
  readonly isFinished: () => boolean;
  /** Returns whether a server was tried before. */
  readonly wasTried: (workerId: string) => boolean;
}

/**
 * Moves a request from an unresponsive server to one that has a free slot. Until such a slot is
 * found, the request stays at its server.
 *
 * @example
 * failover.start(call, parts);
 * const picked = await failover.takeWorker();
 */
export class RequestFailover {
  /** The search for another server; resolves with undefined if the request stays. */
  private prepared: Promise<PickedWorker | undefined> | undefined;

  /** Starts to look for another server for a request whose server does not answer. */
  start(call: UpstreamCall, parts: RequestFailoverParts): void {
    this.prepared = this.findWorker(call, parts);
  }

  /** Returns the result of the search and clears it. */
  takeWorker(): Promise<PickedWorker | undefined> | undefined {
    const { prepared } = this;
    this.prepared = undefined;
    return prepared;
  }

  /** Resolves with the other server once the current call is aborted; never rejects. */
  private async findWorker(
    call: UpstreamCall,
    parts: RequestFailoverParts,
  ): Promise<PickedWorker | undefined> {
    const picked = await parts.pickWorker(() => call.hasAnswerHead)
      .catch((error: unknown) => parts.log.logSilentWait(error));
    if (!picked) return undefined;
    // The answer may have arrived meanwhile.
    await readPendingInput();
    const isWanted = !call.hasAnswerHead && !parts.isFinished();
    // Checked again: the retry may no longer be allowed after the wait for a slot.
    const mayMove = !parts.isCurrentCall(call) || parts.reserveRetry(picked);
    if (!isWanted || !mayMove || parts.wasTried(picked.worker.id)) {
      parts.releasePicked(picked);
      return undefined;
    }
    if (parts.isCurrentCall(call)) call.abort('the backend server does not answer');
    return picked;
  }
}
