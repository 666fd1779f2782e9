import type { LogMessage, StepCount } from '../protocol/generated/beechlift';
import type { ServerStream } from '../wire/rpcServer';

/** Longest time until a message is counted, in milliseconds; senders wait several times as long. */
const COUNT_DELAY_MS = 200;
/** Messages that are counted at once: less than a sender may have on its way. */
const COUNT_MESSAGES = 16;

/**
 * Receives the log messages of another replica over a stream, and tells it how many have arrived.
 * One count serves several messages, as each one costs both ends processor time.
 *
 * @example
 * stream.listen(new StepReceiver(stream, (message) => node.step(message)));
 */
export class StepReceiver {
  private received = 0;

  private counted = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly stream: Pick<ServerStream<LogMessage, StepCount>, 'send'>,
    private readonly step: (message: LogMessage) => void,
  ) {}

  /** Handles a message. */
  readonly take = (message: LogMessage): void => {
    this.received += 1;
    if (this.received - this.counted >= COUNT_MESSAGES) this.sendCount();
    else this.timer ??= setTimeout(() => this.sendCount(), COUNT_DELAY_MS);
    this.step(message);
  };

  /** Ends the counting with the stream. */
  readonly close = (): void => {
    clearTimeout(this.timer);
  };

  private sendCount(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.counted = this.received;
    this.stream.send({ received: this.received });
  }
}
