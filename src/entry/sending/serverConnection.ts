import { buildConnector, Client } from 'undici';
import type { Dispatcher } from 'undici';
import { WorkerSocket } from '../../wire/workerSocket';
import { pauseAtSocket } from './pauseAtSocket';

const CONNECT_TIMEOUT_MS = 1_000;

/** Opens a socket to a backend server. */
export const openServerSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/**
 * One connection to a backend server, for the HTTP client's `request`.
 *
 * The client alone would end the process if a connection ends whose answer is paused, because its
 * caller reads slowly. It would also treat a reset as the normal end of an answer without a length,
 * so a part of an answer would look complete.
 *
 * @example
 * const response = await request(url, { dispatcher: new ServerConnection(origin, {}) });
 */
export class ServerConnection extends Client {
  constructor(origin: string | URL, options: Client.Options) {
    let socket: WorkerSocket | undefined;
    super(origin, {
      ...options,
      connect: (connectOptions, callback) => {
        openServerSocket(connectOptions, (error, opened) => {
          socket = opened ? new WorkerSocket(opened) : undefined;
          // The callback's type needs separate calls for the two cases.
          if (error) callback(error, null);
          else callback(null, opened);
        });
      },
    });
    this.findSocket = () => socket;
  }

  private readonly findSocket: () => WorkerSocket | undefined;

  /** Whether the server ended the latest socket before all of the request was written. */
  get wasEndedEarly(): boolean {
    return this.findSocket()?.wasEndedEarly ?? false;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, pauseAtSocket(handler, this.findSocket));
  }
}
