import {
  credentials, Metadata, status,
} from '@grpc/grpc-js';
import type {
  CallOptions, ChannelCredentials, ChannelOptions, Client, ClientDuplexStream, ClientUnaryCall,
  ServiceError,
} from '@grpc/grpc-js';
import type { Operation } from '../utils/operation';
import { systemClock } from '../utils/clock';
import { buildChannelOptions } from './channelOptions';
import type { KeepaliveMode } from './channelOptions';
import { DeferredStream } from './deferredStream';
import { ReplacementBackoff } from './replacementBackoff';

/** Constructor of a generated client. */
export type ClientConstructor<Stub extends Client> = new (
  address: string,
  channelCredentials: ChannelCredentials,
  options?: Partial<ChannelOptions>,
) => Stub;

/** A unary method of a generated client. */
export type UnaryMethod<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, reply: Reply) => void,
) => ClientUnaryCall;

/** A method of a generated client that streams in both directions. */
export type StreamMethod<Message, Reply> = () => ClientDuplexStream<Message, Reply>;

/**
 * Handlers of a stream: `take` handles each message, `close` is called once when the stream ends.
 * Its argument is the error that broke the stream, which may be one that `take` threw.
 */
export interface StreamListener<Reply> {
  readonly take: (reply: Reply) => void;
  readonly close: (error: Error | undefined) => void;
}

/** Client side of a stream. */
export interface ClientStream<Message> {
  readonly write: (message: Message) => void;
  /** Ends the stream without calling its listener. */
  readonly cancel: () => void;
  /** Replaces the connection, which may be dead: later calls and streams use a new one. */
  readonly replaceConnection: () => void;
}

/** A connection to the peer, and the number of calls and streams that are open on it. */
interface PeerConnection<Stub> {
  readonly stub: Stub;
  activeCalls: number;
  /** Whether the peer has answered on it. */
  hasAnswered: boolean;
}

/** How long a call waits for a new connection before it uses the one before, in milliseconds. */
const OPEN_WAIT_MS = 50;

/** Statuses that indicate a failed connection rather than an error of the peer. */
const CONNECTION_ERRORS: readonly number[] = [status.DEADLINE_EXCEEDED, status.UNAVAILABLE];

/**
 * Calls one peer over gRPC.
 *
 * A connection may stop carrying data for good while new ones work. Pings detect this, and after a
 * call that was not answered in time, the next call uses a new connection. If the peer does not
 * answer on that one either, further replacements back off. Until the new connection is open, calls
 * use the one before: a peer that is only slow may not accept another one for seconds.
 *
 * @example
 * const link = new RpcLink(PeerClient, '10.0.0.2:7100');
 * const reply = await link.call((stub) => stub.ask.bind(stub), request, operation);
 */
export class RpcLink<Stub extends Client> {
  private current: PeerConnection<Stub>;

  /** The last connection on which the peer answered, until the current one is open. */
  private fallback: PeerConnection<Stub> | undefined;

  private readonly backoff = new ReplacementBackoff();

  /** Replaced connections on which calls or streams are still open. */
  private readonly replacedConnections = new Set<PeerConnection<Stub>>();

  constructor(
    private readonly Constructor: ClientConstructor<Stub>,
    readonly address: string,
    private readonly keepaliveMode: KeepaliveMode = 'frequent',
  ) {
    this.current = this.open();
  }

  /** Calls a method; rejects when the operation is cancelled or its deadline passes. */
  call<Request, Reply>(
    pickMethod: (stub: Stub) => UnaryMethod<Request, Reply>,
    request: Request,
    operation: Operation,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Reply> {
    const metadata = new Metadata();
    Object.entries(headers).forEach(([key, value]) => metadata.set(key, value));
    const run = (connection: PeerConnection<Stub>): Promise<Reply> => (
      this.callOn(connection, pickMethod, request, operation, metadata));
    return this.fallback ? this.pickOpen().then(run) : run(this.current);
  }

  private callOn<Request, Reply>(
    connection: PeerConnection<Stub>,
    pickMethod: (stub: Stub) => UnaryMethod<Request, Reply>,
    request: Request,
    operation: Operation,
    metadata: Metadata,
  ): Promise<Reply> {
    connection.activeCalls += 1;
    return new Promise((resolve, reject) => {
      // eslint-disable-next-line no-restricted-globals -- the library converts it to a duration
      const deadline = Date.now() + operation.remainingMs;
      const method = pickMethod(connection.stub);
      const call = method.call(connection.stub, request, metadata, { deadline }, (error, reply) => {
        if (error && CONNECTION_ERRORS.includes(error.code)) this.handleFailure(connection, error);
        else this.recordAnswer(connection);
        this.release(connection);
        if (error) reject(error);
        else resolve(reply);
      });
      const cancel = () => call.cancel();
      if (operation.signal.aborted) cancel();
      else operation.signal.addEventListener('abort', cancel, { once: true });
      call.on('status', () => operation.signal.removeEventListener('abort', cancel));
    });
  }

  /**
   * Opens a bidirectional stream. After a stream that broke, the next one uses a new connection.
   *
   * @example
   * const stream = link.openStream((stub) => stub.place.bind(stub), { take, close });
   * stream.write(message);
   */
  openStream<Message, Reply>(
    pickMethod: (stub: Stub) => StreamMethod<Message, Reply>,
    listener: StreamListener<Reply>,
  ): ClientStream<Message> {
    if (!this.fallback) return this.openStreamOn(this.current, pickMethod, listener);
    const stream = new DeferredStream<Message>();
    this.pickOpen()
      .then((connection) => stream.open(() => this.openStreamOn(connection, pickMethod, listener)))
      .catch((error: unknown) => listener.close(error as Error));
    return stream;
  }

  private openStreamOn<Message, Reply>(
    connection: PeerConnection<Stub>,
    pickMethod: (stub: Stub) => StreamMethod<Message, Reply>,
    { take, close }: StreamListener<Reply>,
  ): ClientStream<Message> {
    connection.activeCalls += 1;
    const call = pickMethod(connection.stub).call(connection.stub);
    let isClosed = false;
    const finish = (): void => {
      isClosed = true;
      this.release(connection);
    };
    const end = (error?: Error): void => {
      if (isClosed) return;
      if (error) this.handleFailure(connection, error);
      finish();
      close(error);
    };
    call.on('data', (reply: Reply) => {
      this.recordAnswer(connection);
      if (isClosed) return;
      try {
        take(reply);
      } catch (thrown) {
        // An error thrown in an event handler of the library would end the process.
        end(thrown as Error);
        call.cancel();
      }
    });
    call.on('error', (error: Error) => end(error));
    call.on('end', () => end());
    return {
      write: (message) => {
        if (!isClosed) call.write(message);
      },
      cancel: () => {
        if (!isClosed) finish();
        call.cancel();
      },
      replaceConnection: () => this.replaceConnection(connection),
    };
  }

  /** Closes all connections. */
  close(): void {
    [this.current, ...this.replacedConnections].forEach(({ stub }) => stub.close());
    this.replacedConnections.clear();
    this.fallback = undefined;
  }

  private open(): PeerConnection<Stub> {
    const stub = new this.Constructor(
      this.address,
      credentials.createInsecure(),
      buildChannelOptions(this.keepaliveMode),
    );
    return { stub, activeCalls: 0, hasAnswered: false };
  }

  private release(connection: PeerConnection<Stub>): void {
    connection.activeCalls -= 1;
    this.closeUnused(connection);
  }

  /*
   * A peer that refuses connections, or has ended one, may accept a new one at any time, and an
   * attempt costs it little. A peer that does not answer may be overloaded.
   */
  private handleFailure(connection: PeerConnection<Stub>, error: Error): void {
    const { code } = error as Partial<ServiceError>;
    if (code === status.UNAVAILABLE) {
      connection.hasAnswered = false;
      if (this.fallback === connection) this.dropFallback();
      if (this.current === connection) this.backoff.reset();
    }
    this.replaceConnection(connection);
  }

  /**
   * Opens a new connection in place of one that gave no answer, unless the last one was replaced
   * recently.
   *
   * The old one stays open until its last call or stream has ended: its peer may only be slow, and
   * the library would abort open calls with the next ping after a close.
   */
  private replaceConnection(connection: PeerConnection<Stub>): void {
    const isUsed = this.current === connection || this.fallback === connection;
    if (!isUsed || !this.backoff.tryReplace(systemClock.now())) return;
    const replaced = this.current;
    this.current = this.open();
    this.replacedConnections.add(replaced);
    if (replaced.hasAnswered) this.setFallback(replaced);
    this.closeUnused(replaced);
  }

  /** Returns the current connection once it is open, or the one before if that takes too long. */
  private pickOpen(): Promise<PeerConnection<Stub>> {
    const { current } = this;
    return new Promise((resolve) => {
      // eslint-disable-next-line no-restricted-globals -- the library converts it to a duration
      current.stub.waitForReady(Date.now() + OPEN_WAIT_MS, (error) => {
        if (!error && this.current === current) this.dropFallback();
        resolve(error ? this.fallback ?? this.current : this.current);
      });
    });
  }

  private setFallback(connection: PeerConnection<Stub>): void {
    this.dropFallback();
    this.fallback = connection;
  }

  private dropFallback(): void {
    const { fallback } = this;
    this.fallback = undefined;
    if (fallback) this.closeUnused(fallback);
  }

  private recordAnswer(connection: PeerConnection<Stub>): void {
    connection.hasAnswered = true;
    if (this.current === connection) this.backoff.reset();
  }

  private closeUnused(connection: PeerConnection<Stub>): void {
    if (connection === this.fallback) return;
    if (connection.activeCalls > 0 || !this.replacedConnections.delete(connection)) return;
    connection.stub.close();
  }
}
