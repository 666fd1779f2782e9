import type { LogMessage, SiteClient, StepCount } from '../protocol/generated/beechlift';
import type { Clock } from '../utils/clock';
import type { ClientStream, RpcLink } from '../wire/rpcLink';
import { CountedMessages } from './countedMessages';

/** Time without a count of what has arrived after which the connection is replaced, in ms. */
const SILENCE_MS = 1_000;
/**
 * Most messages on their way to a replica. It bounds the memory for one that accepts connections
 * but does not read: further messages are dropped, as the log resends lost messages.
 */
const MAX_IN_FLIGHT = 64;

/** A stream to the replica, and what is on its way on it. */
interface OpenStream {
  readonly stream: ClientStream<LogMessage>;
  readonly messages: CountedMessages;
}

/**
 * Sends log messages to one replica, over one stream that is kept. A message of a stream costs both
 * ends much less processor time than a call, and a leader sends and receives some hundred a second.
 *
 * A connection may stop carrying data for good while new ones work: if nothing arrives for a while,
 * the next message uses a new one.
 *
 * @example
 * const stepStream = new StepStream(link, systemClock);
 * stepStream.send(message);
 */
export class StepStream {
  private open: OpenStream | undefined;

  constructor(private readonly link: RpcLink<SiteClient>, private readonly clock: Clock) {}

  /**
   * Sends a message, unless too many are on their way. If this process was busy, timers run before
   * input is read: a count that seems to be missing may have arrived.
   */
  send(message: LogMessage): void {
    const now = this.clock.now();
    if (this.isSilent(now)) setImmediate(() => this.sendAfterInput(message));
    else this.write(message, now);
  }

  private sendAfterInput(message: LogMessage): void {
    const now = this.clock.now();
    if (this.isSilent(now)) this.replaceConnection();
    this.write(message, now);
  }

  private write(message: LogMessage, now: number): void {
    this.open ??= this.tryOpen();
    const { open } = this;
    if (!open || open.messages.onTheirWay >= MAX_IN_FLIGHT) return;
    open.messages.recordSent(now);
    open.stream.write(message);
  }

  private isSilent(now: number): boolean {
    return (this.open?.messages.measureSilence(now) ?? 0) >= SILENCE_MS;
  }

  private replaceConnection(): void {
    this.open?.stream.replaceConnection();
    this.open?.stream.cancel();
    this.open = undefined;
  }

  /*
   * Connections are closed when the process stops, while a message may still wait for a write to
   * disk. The library throws then, and the log would take that for a failure of its disk.
   */
  private tryOpen(): OpenStream | undefined {
    try {
      return this.openStream();
    } catch {
      return undefined;
    }
  }

  private openStream(): OpenStream {
    const messages = new CountedMessages();
    const stream = this.link.openStream<LogMessage, StepCount>((stub) => (
      stub.keepStepping.bind(stub)), {
      take: ({ received }) => {
        messages.recordCount(received, this.clock.now());
      },
      close: () => {
        if (this.open?.stream === stream) this.open = undefined;
      },
    });
    return { stream, messages };
  }
}
