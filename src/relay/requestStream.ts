import { readOrigin } from '../core/routing/streamOrigin';
import type { StreamOrigin } from '../core/routing/streamOrigin';
import type { RequestFacts } from './requestDialect';
import type { RequestParts } from './requestParts';
import type { PickedWorker } from './pickRequest';

/**
 * The stream that one request begins or continues. Once its version is known, only servers of that
 * version may serve the request.
 *
 * @example
 * stream.adoptOrigin(picked);
 * stream.recordHead(picked, deadlineAt, writer.hasStarted);
 */
export class RequestStream {
  private knownOrigin: StreamOrigin | undefined;

  constructor(
    private readonly parts: Pick<RequestParts, 'placeClient' | 'metrics'>,
    private readonly facts: RequestFacts,
  ) {}

  /** Version at which the stream must continue; undefined while any version may begin it. */
  get origin(): StreamOrigin | undefined {
    return this.knownOrigin;
  }

  /** Adopts the version to which the choice of a server was restricted. */
  adoptOrigin({ origin }: PickedWorker): void {
    this.knownOrigin ??= origin;
  }

  /**
   * Records that the head of a server's answer is passed on: from now on the caller may take the
   * stream up at any entry.
   *
   * @param isContinued whether a head was passed on before
   */
  recordHead({ worker, placeId }: PickedWorker, deadlineAt: number, isContinued: boolean): void {
    const { requestId, lastEventId, resumedId } = this.facts;
    const isTakenUp = lastEventId !== '';
    this.knownOrigin ??= readOrigin(worker);
    if (isContinued || isTakenUp) this.parts.metrics.continuedStreams.inc({ by: isContinued ? 'entry' : 'caller' });
    const ids = [requestId, isTakenUp ? resumedId : ''].filter((id) => id !== '');
    this.parts.placeClient.recordStream({ ids, origin: this.knownOrigin, deadlineAt }, placeId);
  }
}
