import type { Route } from '../manifest/routing';
import type { RequestLog } from './requestLog';
import type { UpstreamCall } from './upstreamCall';
import type { PickedWorker } from './workerPicker';

/** Silence of a server, in target latencies, after which it is taken for unwell. */
const SILENCE_IN_TARGETS = 2.5;
/** Shortest silence that says anything, in milliseconds. */
const MIN_SILENCE_MS = 250;

/**
 * Computes after how long without an answer a server is taken for silent, in milliseconds.
 *
 * @example
 * setTimeout(() => noteSilence(call), computeSilenceMs(route));
 */
export const computeSilenceMs = ({ targetLatencyMs }: Route): number => (
  Math.max(MIN_SILENCE_MS, SILENCE_IN_TARGETS * targetLatencyMs));

/** What a move needs of its request. */
export interface ServerMoveParts {
  readonly log: Pick<RequestLog, 'noteStay'>;
  /** Finds another server, until it is settled that none is needed; nothing where it is over. */
  readonly pickWorker: (isSettled: () => boolean) => Promise<PickedWorker | undefined>;
  /** Gives a place back that is not used. */
  readonly dropPicked: (picked: PickedWorker) => void;
  /** Whether another send, to the server, is certain to be allowed. */
  readonly holdRepeat: (picked: PickedWorker) => boolean;
  /** Whether the request is still at its server. */
  readonly isAt: (call: UpstreamCall) => boolean;
  /** Whether nobody waits for the request any more. */
  readonly isOver: () => boolean;
  /** Whether the request was at a server before. */
  readonly wasAt: (workerId: string) => boolean;
}

/**
 * The move of a request from a server that is silent to another one that has a place for it. Until
 * there is such a place, the request stays where it is.
 *
 * @example
 * move.begin(call, parts);
 * const picked = await move.take();
 */
export class ServerMove {
  /** The server that takes the request over; none where it stays. */
  private prepared: Promise<PickedWorker | undefined> | undefined;

  /** Looks for another server for a request whose call is silent. */
  begin(call: UpstreamCall, parts: ServerMoveParts): void {
    this.prepared = this.prepare(call, parts);
  }

  /** Takes what came of it, once. */
  take(): Promise<PickedWorker | undefined> | undefined {
    const { prepared } = this;
    this.prepared = undefined;
    return prepared;
  }

  /** Resolves with a server that has a place, once the silent one is given up; never rejects. */
  private async prepare(
    call: UpstreamCall,
    parts: ServerMoveParts,
  ): Promise<PickedWorker | undefined> {
    const picked = await parts.pickWorker(() => call.isAnswering)
      .catch((error: unknown) => parts.log.noteStay(error));
    if (!picked) return undefined;
    const isWanted = !call.isAnswering && !parts.isOver();
    // Looked at again: what allowed another send may have changed while the place was waited for.
    const mayLeave = !parts.isAt(call) || parts.holdRepeat(picked);
    if (!isWanted || !mayLeave || parts.wasAt(picked.worker.id)) {
      parts.dropPicked(picked);
      return undefined;
    }
    if (parts.isAt(call)) call.abort('the backend server is silent');
    return picked;
  }
}
