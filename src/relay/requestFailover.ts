import type { Route } from '../manifest/routing';
import type { RequestLog } from './requestLog';
import type { UpstreamCall } from './upstreamCall';
import type { PickedWorker } from './workerPicker';

/** Silence of a server, in target latencies, after which it is taken for unwell. */
const SILENCE_TARGET_FACTOR = 2.5;
/** Shortest silence that says anything, in milliseconds. */
const MIN_SILENCE_MS = 250;

/**
 * Computes after how long without an answer a server is taken for silent, in milliseconds.
 *
 * @example
 * setTimeout(() => noteSilence(call), computeSilenceMs(route));
 */
export const computeSilenceMs = ({ targetLatencyMs }: Route): number => (
  Math.max(MIN_SILENCE_MS, SILENCE_TARGET_FACTOR * targetLatencyMs));

/** What a move needs of its request. */
export interface RequestFailoverParts {
  readonly log: Pick<RequestLog, 'noteStay'>;
  /** Finds another server, until it is settled that none is needed; nothing where it is over. */
  readonly pickWorker: (isUnneeded: () => boolean) => Promise<PickedWorker | undefined>;
  /** Gives a place back that is not used. */
  readonly releasePicked: (picked: PickedWorker) => void;
  /** Whether another send, to the server, is certain to be allowed. */
  readonly reserveRetry: (picked: PickedWorker) => boolean;
  /** Whether the request is still at its server. */
  readonly isCurrentCall: (call: UpstreamCall) => boolean;
  /** Whether nobody waits for the request any more. */
  readonly isFinished: () => boolean;
  /** Whether the request was at a server before. */
  readonly wasTried: (workerId: string) => boolean;
}

/**
 * The move of a request from a server that is silent to another one that has a place for it. Until
 * there is such a place, the request stays where it is.
 *
 * @example
 * move.begin(call, parts);
 * const picked = await move.take();
 */
export class RequestFailover {
  /** The server that takes the request over; none where it stays. */
  private prepared: Promise<PickedWorker | undefined> | undefined;

  /** Looks for another server for a request whose call is silent. */
  start(call: UpstreamCall, parts: RequestFailoverParts): void {
    this.prepared = this.findWorker(call, parts);
  }

  /** Takes what came of it, once. */
  takeWorker(): Promise<PickedWorker | undefined> | undefined {
    const { prepared } = this;
    this.prepared = undefined;
    return prepared;
  }

  /** Resolves with a server that has a place, once the silent one is given up; never rejects. */
  private async findWorker(
    call: UpstreamCall,
    parts: RequestFailoverParts,
  ): Promise<PickedWorker | undefined> {
    const picked = await parts.pickWorker(() => call.hasAnswerHead)
      .catch((error: unknown) => parts.log.noteStay(error));
    if (!picked) return undefined;
    const isWanted = !call.hasAnswerHead && !parts.isFinished();
    // Looked at again: what allowed another send may have changed while the place was waited for.
    const mayMove = !parts.isCurrentCall(call) || parts.reserveRetry(picked);
    if (!isWanted || !mayMove || parts.wasTried(picked.worker.id)) {
      parts.releasePicked(picked);
      return undefined;
    }
    if (parts.isCurrentCall(call)) call.abort('the backend server is silent');
    return picked;
  }
}
