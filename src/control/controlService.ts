import type { ServerUnaryCall, sendUnaryData } from '@grpc/grpc-js';
import { BeechliftError } from '../errors/beechliftError';
import type { ControlServer, FoundingReply } from '../protocol/generated/beechlift';
import { handleUnary } from '../wire/rpcServer';
import type { ClaimHolder } from './claimHolder';
import type { ControlNode } from './controlNode';

/** gRPC handlers of a replica whose log runs. */
export type StartedService = Omit<ControlServer, 'readFounding'>;

/**
 * Makes the gRPC handlers of a control replica; they only pass requests to the node or the holder.
 *
 * @example
 * server.add(ControlService, makeControlService(node, holder));
 */
export const makeControlService = (node: ControlNode, holder: ClaimHolder): StartedService => ({
  heartbeat: handleUnary((request) => node.handleHeartbeat(request)),
  submit: handleUnary((request) => node.submit(request)),
  readStatus: handleUnary((request) => ({
    ...node.readStatus(request.operatorKey), claims: holder.table.claims.size,
  })),
  step: handleUnary((message) => {
    node.runner.handle({ kind: 'message', message });
    return {};
  }),
  changeReplicas: handleUnary((request) => node.changeReplicas(request)),
  prepareClaim: handleUnary((request) => holder.prepare(request)),
  acceptClaim: handleUnary((request) => holder.accept(request)),
  copyClaims: handleUnary((request) => holder.copy(request)),
  reportCopied: handleUnary((request) => {
    node.recordCopiedSet(request);
    return {};
  }),
});

const METHODS = [
  'heartbeat', 'submit', 'readStatus', 'step', 'changeReplicas', 'prepareClaim', 'acceptClaim', 'copyClaims',
  'reportCopied',
] as const;

/**
 * Makes gRPC handlers that also serve before the log runs: other replicas can read the founding
 * state, and all other calls are refused until `findService` returns the handlers of the replica.
 *
 * @example
 * server.add(ControlService, makeWaitingService(() => service, () => founding.read(voters)));
 */
export const makeWaitingService = (
  findService: () => StartedService | undefined,
  readFounding: () => FoundingReply,
): ControlServer => {
  const refuse = handleUnary<unknown, never>(() => {
    throw new BeechliftError('noQuorum', 'this replica has not started yet');
  });
  const makeHandler = (method: (typeof METHODS)[number]) => (
    call: ServerUnaryCall<unknown, unknown>,
    callback: sendUnaryData<unknown>,
  ) => {
    const service = findService();
    const handler = (service?.[method] ?? refuse) as typeof refuse;
    handler(call, callback);
  };
  const methods = Object.fromEntries(METHODS.map((method) => [method, makeHandler(method)]));
  return { ...methods, readFounding: handleUnary(readFounding) } as unknown as ControlServer;
};
