import { Server, ServerCredentials, status } from '@grpc/grpc-js';
import type {
  handleUnaryCall, ServerUnaryCall, ServiceDefinition, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { toBeechliftError } from '../errors/beechliftError';
import { CHANNEL_OPTIONS } from './rpcLink';

/** What a handler may know of its call beside the request. */
export interface CallContext {
  /** Metadata of the call as plain headers. */
  readonly headers: Readonly<Record<string, unknown>>;
  /** Runs when the other end gave the call up before it was answered. */
  readonly onCancel: (listener: () => void) => void;
}

/**
 * Turns an async function into a gRPC handler; whatever it throws becomes a status that names the
 * code.
 *
 * @example
 * const handlers = { heartbeat: handleUnary((request) => node.handleHeartbeat(request)) };
 */
export const handleUnary = <Request, Reply>(
  handler: (request: Request, context: CallContext) => Promise<Reply> | Reply,
): handleUnaryCall<Request, Reply> => (call: ServerUnaryCall<Request, Reply>, callback) => {
  let answered = false;
  const context: CallContext = {
    headers: call.metadata.getMap(),
    // The library also reports calls as cancelled that were answered and are over.
    onCancel: (listener) => {
      if (call.cancelled) listener();
      else {
        call.on('cancelled', () => {
          if (!answered) listener();
        });
      }
    },
  };
  Promise.resolve()
    .then(() => handler(call.request, context))
    .then((reply) => {
      answered = true;
      callback(null, reply);
    })
    .catch((thrown: unknown) => {
      const error = toBeechliftError(thrown);
      callback({ code: status.INTERNAL, details: `${error.number} ${error.code}: ${error.message}` });
    });
};

/**
 * Serves a gRPC service on an address.
 *
 * @example
 * const server = new RpcServer();
 * server.add(PeerService, handlers);
 * const address = await server.listen('127.0.0.1:0');
 */
export class RpcServer {
  private readonly server = new Server(CHANNEL_OPTIONS);

  /** Adds a service. */
  add(service: ServiceDefinition, handlers: UntypedServiceImplementation): void {
    this.server.addService(service, handlers);
  }

  /** Binds the address and returns it with the port that was given. */
  listen(address: string): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error) reject(error);
        else resolve(`${address.slice(0, address.lastIndexOf(':'))}:${port}`);
      });
    });
  }

  /** Ends all calls and stops. */
  close(): void {
    this.server.forceShutdown();
  }
}
