import type { ControlServer } from '../protocol/generated/beechlift';
import { handleUnary } from '../wire/rpcServer';
import type { ClaimHolder } from './claimHolder';
import type { ControlNode } from './controlNode';

/**
 * The wire side of a control replica: turns messages into calls and nothing more.
 *
 * @example
 * server.add(ControlService, makeControlService(node, holder));
 */
export const makeControlService = (node: ControlNode, holder: ClaimHolder): ControlServer => ({
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
    node.noteCopied(request);
    return {};
  }),
});
