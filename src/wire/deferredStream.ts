import type { ClientStream } from './rpcLink';

/**
 * A stream that is opened once its connection is known; messages wait until then.
 *
 * @example
 * const stream = new DeferredStream<PlaceNews>();
 * stream.write(message);
 * stream.open(() => openOn(connection));
 */
export class DeferredStream<Message> implements ClientStream<Message> {
  private opened: ClientStream<Message> | undefined;

  private waiting: Message[] = [];

  private isCancelled = false;

  /** Opens the stream and writes what waits, unless it was cancelled. */
  open(openStream: () => ClientStream<Message>): void {
    if (this.isCancelled) return;
    const opened = openStream();
    this.opened = opened;
    this.waiting.forEach((message) => opened.write(message));
    this.waiting = [];
  }

  /** Writes a message. */
  readonly write = (message: Message): void => {
    if (this.opened) this.opened.write(message);
    else this.waiting.push(message);
  };

  /** Ends the stream without calling its listener. */
  readonly cancel = (): void => {
    this.isCancelled = true;
    this.waiting = [];
    this.opened?.cancel();
  };

  /** Replaces the connection, which may be dead; does nothing before it is known. */
  readonly replaceConnection = (): void => this.opened?.replaceConnection();
}
