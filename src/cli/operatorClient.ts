import { setTimeout as pause } from 'node:timers/promises';
import { ControlClient } from '../protocol/generated/beechlift';
import type {
  ChangeReplicasRequest, StatusReply, StatusRequest, SubmitReply, SubmitRequest,
} from '../protocol/generated/beechlift';
import { BeechliftError } from '../errors/beechliftError';
import { resultCodes } from '../errors/resultCodes';
import { Operation } from '../utils/operation';
import { toPeerError } from '../wire/peerError';
import { RpcLink } from '../wire/rpcLink';

const RETRY_PAUSE_MS = 200;
const CALL_TIMEOUT_MS = 5_000;

/**
 * Calls the control replicas for an operator, one after another until one returns a decision. A
 * manifest may be submitted repeatedly, so a call whose reply was lost is retried.
 *
 * @example
 * const client = new OperatorClient(['10.0.0.1:7200'], key);
 * const reply = await client.submit(text, 15_000);
 */
export class OperatorClient {
  constructor(
    private readonly addresses: readonly string[],
    private readonly operatorKey: string,
  ) {}

  /** Submits a manifest. */
  submit(manifest: string, timeoutMs: number): Promise<SubmitReply> {
    return this.callUntilDecided<SubmitRequest, SubmitReply>('submit', {
      manifest, operatorKey: this.operatorKey, deadlineMs: CALL_TIMEOUT_MS, forwarded: false,
    }, timeoutMs);
  }

  /** Reads the status of the leader, or of another replica if no leader answers. */
  async readStatus(timeoutMs: number): Promise<StatusReply> {
    const request = { operatorKey: this.operatorKey };
    const first = await this.callUntilDecided<StatusRequest, StatusReply>(
      'readStatus',
      request,
      timeoutMs,
    );
    if (first.role === 'leader' || first.leaderAddress === '') return first;
    return this.callOnce<StatusRequest, StatusReply>(first.leaderAddress, 'readStatus', request)
      .catch(() => first);
  }

  /** Starts the replacement of a replica. */
  changeReplicas(
    request: Omit<ChangeReplicasRequest, 'operatorKey'>,
    timeoutMs: number,
  ): Promise<SubmitReply> {
    return this.callUntilDecided<ChangeReplicasRequest, SubmitReply>('changeReplicas', {
      ...request, operatorKey: this.operatorKey,
    }, timeoutMs);
  }

  private async callUntilDecided<Request, Reply>(
    method: 'submit' | 'readStatus' | 'changeReplicas',
    request: Request,
    timeoutMs: number,
    attempt = 0,
  ): Promise<Reply> {
    const startedAt = performance.now();
    const address = this.addresses[attempt % this.addresses.length] ?? '';
    try {
      return await this.callOnce<Request, Reply>(address, method, request);
    } catch (thrown) {
      const error = toPeerError(thrown, 'noQuorum');
      const remainingMs = timeoutMs - (performance.now() - startedAt) - RETRY_PAUSE_MS;
      const isFinal = resultCodes[error.code].status !== 503 && error.code !== 'replicaChangeRefused';
      if (isFinal || remainingMs <= 0) throw new BeechliftError(error.code, `${error.message} (last replica tried: ${address})`);
      await pause(RETRY_PAUSE_MS);
      return this.callUntilDecided<Request, Reply>(method, request, remainingMs, attempt + 1);
    }
  }

  private async callOnce<Request, Reply>(
    address: string,
    method: 'submit' | 'readStatus' | 'changeReplicas',
    request: Request,
  ): Promise<Reply> {
    const link = new RpcLink(ControlClient, address);
    try {
      return await link.call<Request, Reply>(
        (stub) => stub[method].bind(stub) as never,
        request,
        new Operation({ timeoutMs: CALL_TIMEOUT_MS }),
      );
    } finally {
      link.close();
    }
  }
}
