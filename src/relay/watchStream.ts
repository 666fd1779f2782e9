import { BeechliftError } from '../errors/beechliftError';
import type { SiteClient, WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import type { ClientStream, RpcLink } from '../wire/rpcLink';

/** A watch request that was not answered yet. */
interface PendingRequest {
  readonly resolve: (reply: WatchReply) => void;
  readonly reject: (error: Error) => void;
  /** Ends the stream if no reply is received in time. */
  readonly timer: NodeJS.Timeout;
}

/**
 * Sends watch requests to the leader over one stream, one at a time. Messages of a stream cost the
 * leader less processor time than single calls.
 *
 * A request that is not answered in time ends the stream and marks its connection as suspect, so
 * that the next stream uses a new connection.
 *
 * @example
 * const stream = new WatchStream(link);
 * const reply = await stream.sendRequest(request, 550);
 */
export class WatchStream {
  private readonly stream: ClientStream<WatchRequest>;

  private pending: PendingRequest | undefined;

  private failure: Error | undefined;

  constructor(readonly link: RpcLink<SiteClient>) {
    this.stream = link.openStream<WatchRequest, WatchReply>((stub) => stub.keepWatch.bind(stub), {
      take: (reply) => this.handleReply(reply),
      close: (error) => this.end(error ?? new BeechliftError('noQuorum', 'the replica ended the stream')),
    });
  }

  /** Whether requests can still be sent. */
  get isOpen(): boolean {
    return this.failure === undefined;
  }

  /** Resolves with the reply; rejects and ends the stream if none is received in time. */
  sendRequest(request: WatchRequest, timeoutMs: number): Promise<WatchReply> {
    return new Promise((resolve, reject) => {
      if (this.failure) {
        reject(this.failure);
        return;
      }
      this.pending = {
        resolve, reject, timer: setTimeout(() => this.expire(timeoutMs), timeoutMs),
      };
      this.stream.write(request);
    });
  }

  /** Ends the stream. */
  close(): void {
    this.stream.cancel();
    this.end(new BeechliftError('noQuorum', 'the stream was closed by this entry'));
  }

  private handleReply(reply: WatchReply): void {
    this.takePending()?.resolve(reply);
  }

  private expire(timeoutMs: number): void {
    this.stream.replaceConnection();
    this.stream.cancel();
    this.end(new BeechliftError('noQuorum', `no answer within ${timeoutMs} ms`));
  }

  private end(error: Error): void {
    this.failure ??= error;
    this.takePending()?.reject(error);
  }

  /** Clears and returns the pending request, and stops its timer. */
  private takePending(): PendingRequest | undefined {
    const { pending } = this;
    this.pending = undefined;
    clearTimeout(pending?.timer);
    return pending;
  }
}
