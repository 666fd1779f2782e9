import { Server, ServerCredentials, status } from '@grpc/grpc-js';
import type {
  handleBidiStreamingCall, handleUnaryCall, ServerDuplexStream, ServerUnaryCall, ServiceDefinition,
  StatusObject, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { toBeechliftError } from '../errors/beechliftError';
import { buildChannelOptions } from './channelOptions';
import type { KeepaliveMode } from './channelOptions';

/** Context of a call, besides its request. */
export interface CallContext {
  /** Metadata of the call as plain headers. */
  readonly headers: Readonly<Record<string, unknown>>;
  /** Calls the listener if the client cancels the call before it is answered. */
  readonly onCancel: (listener: () => void) => void;
}

const toStatus = (thrown: unknown): Pick<StatusObject, 'code' | 'details'> => {
  const error = toBeechliftError(thrown);
  return { code: status.INTERNAL, details: `${error.number} ${error.code}: ${error.message}` };
};

/**
 * Makes a gRPC handler from a function; an error that it throws becomes a status with the result
 * code.
 *
 * @example
 * const handlers = { heartbeat: handleUnary((request) => node.handleHeartbeat(request)) };
 */
export const handleUnary = <Request, Reply>(
  handler: (request: Request, context: CallContext) => Promise<Reply> | Reply,
): handleUnaryCall<Request, Reply> => (call: ServerUnaryCall<Request, Reply>, callback) => {
  let isAnswered = false;
  const context: CallContext = {
    headers: call.metadata.getMap(),
    // The library also emits the event for calls that have been answered.
    onCancel: (listener) => {
      if (call.cancelled) listener();
      else {
        call.on('cancelled', () => {
          if (!isAnswered) listener();
        });
      }
    },
  };
  Promise.resolve()
    .then(() => handler(call.request, context))
    .then((reply) => {
      isAnswered = true;
      callback(null, reply);
    })
    .catch((thrown: unknown) => callback(toStatus(thrown)));
};

/** Server side of a bidirectional stream. */
export interface ServerStream<Message, Reply> {
  readonly send: (reply: Reply) => void;
  readonly end: () => void;
  /** Sets the handlers of the stream. */
  readonly listen: (handlers: StreamHandlers<Message>) => void;
}

/** Handlers of a stream: `take` for each message, `close` once when the stream has ended. */
export interface StreamHandlers<Message> {
  readonly take: (message: Message) => void;
  readonly close: () => void;
}

/** Receives an error of a stream's handlers, in addition to the status that the client receives. */
export type FailureListener = (error: Error) => void;

const attachHandlers = <Message, Reply>(
  call: ServerDuplexStream<Message, Reply>,
  { take, close }: StreamHandlers<Message>,
  reportFailure: FailureListener,
): void => {
  let isClosed = false;
  const end = (): void => {
    if (isClosed) return;
    isClosed = true;
    try {
      close();
    } catch (thrown) {
      reportFailure(toBeechliftError(thrown));
    }
    call.end();
  };
  // An error thrown in an event handler of the library would end the process.
  const fail = (thrown: unknown): void => {
    reportFailure(toBeechliftError(thrown));
    call.emit('error', toStatus(thrown));
  };
  call.on('data', (message: Message) => {
    if (isClosed) return;
    try {
      take(message);
    } catch (thrown) {
      fail(thrown);
    }
  });
  ['end', 'cancelled', 'error', 'close'].forEach((event) => call.on(event, end));
};

/**
 * Makes a gRPC handler of a stream. An error that is thrown while the stream opens, or while a
 * message is handled, becomes a status with the result code.
 *
 * @example
 * const place = handleStream((stream) => stream.listen(node.openPlacementStream(stream)));
 */
export const handleStream = <Message, Reply>(
  open: (stream: ServerStream<Message, Reply>) => void,
  reportFailure: FailureListener = () => undefined,
): handleBidiStreamingCall<Message, Reply> => (call) => {
  try {
    open({
      send: (reply) => {
        if (call.writable) call.write(reply);
      },
      end: () => call.end(),
      listen: (handlers) => attachHandlers(call, handlers, reportFailure),
    });
  } catch (thrown) {
    call.emit('error', toStatus(thrown));
  }
};

/**
 * Serves gRPC services on an address.
 *
 * @example
 * const server = new RpcServer();
 * server.add(PeerService, handlers);
 * const address = await server.listen('127.0.0.1:0');
 */
export class RpcServer {
  private readonly server: Server;

  constructor(keepaliveMode: KeepaliveMode = 'frequent') {
    this.server = new Server(buildChannelOptions(keepaliveMode));
  }

  /** Adds a service. */
  add(service: ServiceDefinition, handlers: UntypedServiceImplementation): void {
    this.server.addService(service, handlers);
  }

  /** Binds the address and returns it with the assigned port. */
  listen(address: string): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error) reject(error);
        else resolve(`${address.slice(0, address.lastIndexOf(':'))}:${port}`);
      });
    });
  }

  /** Aborts all calls and stops the server. */
  close(): void {
    this.server.forceShutdown();
  }
}
