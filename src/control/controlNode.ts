import type {
  ChangeReplicasRequest, HeartbeatReply, HeartbeatRequest, HolderSet, LogMessage, Replica,
  ReportCopiedRequest, StatusReply, SubmitReply, SubmitRequest,
} from '../protocol/generated/beechlift';
import { HeartbeatReply as HeartbeatReplyCodec } from '../protocol/generated/beechlift';
import { listReplicas, listVoters } from '../core/log/logState';
import type { LogRole, Snapshot, StoredLog } from '../core/log/logTypes';
import {
  computeMembers, recordHeartbeat, removeStaleMembers,
} from '../core/membership/memberTable';
import type { MemberTable } from '../core/membership/memberTable';
import {
  applySiteCommand, collectChanges, formatSiteState, makeSiteState, parseSiteState,
} from '../core/membership/siteState';
import type { SiteCommand, SiteState, SubmitResult } from '../core/membership/siteState';
import type { LogStore } from '../disk/logStore';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import { resultCodes } from '../errors/resultCodes';
import { checkManifest } from '../manifest/checkManifest';
import { formatFault } from '../manifest/manifestFault';
import type { ManifestFault } from '../manifest/manifestFault';
import { computeDigest } from '../manifest/manifestDelta';
import type { ControlSettings } from '../settings/settings';
import type { Logger } from '../telemetry/logger';
import { formatCanonicalJson } from '../utils/canonicalJson';
import { isKeyOf } from '../utils/secretKey';
import type { Clock } from '../utils/clock';
import { Operation } from '../utils/operation';
import { LogRunner } from './logRunner';
import {
  planHolderChange, planReplicaChange, startReplacement,
} from './replacement';

const PROPOSE_TIMEOUT_MS = 4_000;

/** Calls to the other replicas, and the report of a disk failure. */
export interface ControlPort {
  readonly sendMessage: (message: LogMessage, address: string) => void;
  readonly forwardSubmit: (
    request: SubmitRequest,
    address: string,
    operation: Operation,
  ) => Promise<SubmitReply>;
  readonly failStorage: (error: unknown) => void;
}

const toSubmitReply = (result: SubmitResult): SubmitReply => ({
  code: result.code === 'accepted' ? 0 : resultCodes[result.code].number,
  message: result.message,
  version: result.version,
  digest: result.digest,
  faults: [],
});

const toFaultsReply = (faults: readonly ManifestFault[]): SubmitReply => ({
  code: resultCodes[faults[0]?.code ?? 'manifestInvalid'].number,
  message: faults.map(formatFault).join('\n'),
  version: 0,
  digest: '',
  faults: faults.map(
    ({ code, path, message }) => ({ code: resultCodes[code].number, path, message }),
  ),
});

/**
 * One control replica: the replicated state of the site and the tasks of a leader. It is
 * independent of the transport.
 *
 * @example
 * const node = new ControlNode(settings, stored, store, port, systemClock, logger);
 * setInterval(() => node.tick(), 50);
 */
export class ControlNode {
  site: SiteState;

  readonly runner: LogRunner<SubmitResult>;

  private readonly memberTable: MemberTable = new Map();

  private leadingSince = 0;

  private isProposing = false;

  private copiedSet = 0;

  constructor(
    private readonly settings: ControlSettings,
    stored: StoredLog,
    store: LogStore,
    private readonly port: ControlPort,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.site = parseSiteState(stored.snapshot.data);
    this.runner = new LogRunner(settings.id, stored, store, {
      applyCommand: (command) => this.applyCommand(command),
      restoreSnapshot: (snapshot) => this.restoreSnapshot(snapshot),
      takeSnapshot: () => formatSiteState(this.site),
      sendMessage: (message) => this.sendMessage(message),
      handleRoleChange: (role, term) => this.handleRoleChange(role, term),
      failStorage: (error) => port.failStorage(error),
    }, clock);
  }

  /** Address of the leader; empty if this replica knows none. */
  get leaderAddress(): string {
    return this.findReplica(this.runner.state.leaderId)?.address ?? '';
  }

  /** The current claim holders. */
  get holders(): HolderSet {
    const { number, current, previous } = this.site.holders;
    return { number, current: [...current], previous: [...previous] };
  }

  /** Lists the ids of the voters in the log of this replica. */
  listVoterIds(): string[] {
    return listVoters(this.runner.state.replicas).map(({ id }) => id);
  }

  /** Runs the timers of the log and, on a leader, the periodic tasks of the site. */
  tick(): void {
    this.runner.handle({ kind: 'tick' });
    if (!this.runner.holdsLease || this.isProposing) return;
    const now = this.clock.now();
    removeStaleMembers(this.memberTable, now);
    const command = this.planCommand(now);
    if (command) this.proposeInBackground(command);
    else this.continueReplacement();
  }

  /** Answers a heartbeat of an entry with a lease and the configuration changes it lacks. */
  handleHeartbeat(request: HeartbeatRequest): HeartbeatReply {
    if (!this.runner.holdsLease) return this.buildNotLeadingReply();
    if (request.member) {
      recordHeartbeat(this.memberTable, request.member, request.manifestVersion, this.clock.now());
    }
    return this.buildHeartbeatReply(request);
  }

  /** Validates and submits a manifest; a follower forwards it to the leader. */
  async submit(request: SubmitRequest): Promise<SubmitReply> {
    const operation = new Operation({
      timeoutMs: Math.min(request.deadlineMs || PROPOSE_TIMEOUT_MS, PROPOSE_TIMEOUT_MS),
      clock: this.clock,
    });
    if (!this.runner.holdsLease) return this.forwardSubmit(request, operation);
    this.requireOperator(request.operatorKey);
    const { manifest, faults } = checkManifest(request.manifest, this.site.manifest);
    if (!manifest) return toFaultsReply(faults);
    const digest = computeDigest(manifest);
    const command: SiteCommand = {
      kind: 'manifest', digest, manifest,
    };
    const result = await this.runner.propose(JSON.stringify(command), operation);
    if (!result) throw new BeechliftError('noQuorum', 'the log returned no result');
    this.logger.info(
      'manifest submitted',
      { version: result.version, digest: result.digest, result: result.code },
    );
    return toSubmitReply(result);
  }

  /** Reads the state of this replica and, on the leader, the members with their versions. */
  readStatus(operatorKey: string): StatusReply {
    this.requireOperator(operatorKey);
    const { state } = this.runner;
    const now = this.clock.now();
    return {
      id: this.settings.id,
      role: state.role,
      leaderAddress: this.leaderAddress,
      term: state.term,
      commitIndex: state.commitIndex,
      manifestVersion: this.site.manifest?.version ?? 0,
      manifestDigest: this.site.digest,
      members: [...this.memberTable.values()].map(({ member, manifestVersion, lastSeenAt }) => ({
        member, manifestVersion, silentMs: Math.round(now - lastSeenAt),
      })),
      holders: this.holders,
      viewNumber: this.site.viewNumber,
      claims: 0,
      code: 0,
      message: '',
    };
  }

  /** Starts to replace a replica; the remaining steps run automatically. */
  changeReplicas(request: ChangeReplicasRequest): SubmitReply {
    this.requireOperator(request.operatorKey);
    const next = startReplacement(this.runner.state.replicas, request.removeId, request.add);
    const isStarted = this.runner.holdsLease
      && next !== undefined
      && this.runner.changeReplicas(next);
    if (!isStarted) {
      throw new BeechliftError('replicaChangeRefused', 'this replica does not lead, another change is in progress, or the replica ids do not fit this change');
    }
    return {
      code: 0, message: 'started', version: 0, digest: '', faults: [],
    };
  }

  /** Records that a new claim holder has copied the claims of a holder set. */
  recordCopiedSet(request: ReportCopiedRequest): void {
    this.copiedSet = Math.max(this.copiedSet, request.holderSet);
  }

  private planCommand(now: number): SiteCommand | undefined {
    const members = computeMembers(this.site.members, this.memberTable, this.leadingSince, now);
    if (members) return { kind: 'members', members };
    return planHolderChange(this.site.holders, this.runner.state, this.copiedSet);
  }

  private continueReplacement(): void {
    const next = planReplicaChange(this.runner.state, this.clock.now());
    if (next) this.runner.changeReplicas(next);
  }

  private proposeInBackground(command: SiteCommand): void {
    this.isProposing = true;
    const operation = new Operation({ timeoutMs: PROPOSE_TIMEOUT_MS, clock: this.clock });
    this.runner.propose(JSON.stringify(command), operation)
      .catch(
        (error: unknown) => this.logger.warn(
          'proposal failed',
          { kind: command.kind, reason: toBeechliftError(error).message },
        ),
      )
      .finally(() => {
        this.isProposing = false;
      });
  }

  private buildNotLeadingReply(): HeartbeatReply {
    return HeartbeatReplyCodec.fromPartial({ leaderAddress: this.leaderAddress });
  }

  private buildHeartbeatReply(request: HeartbeatRequest): HeartbeatReply {
    const { site } = this;
    const reply = HeartbeatReplyCodec.fromPartial({
      leaseMs: this.settings.leaseMs,
      manifestVersion: site.manifest?.version ?? 0,
      manifestDigest: site.digest,
      viewNumber: site.viewNumber,
      holders: this.holders,
    });
    if (request.viewNumber !== site.viewNumber) {
      reply.view = { number: site.viewNumber, members: [...site.members] };
    }
    if (site.manifest && request.manifestDigest !== site.digest) this.addManifest(reply, request);
    return reply;
  }

  private addManifest(reply: HeartbeatReply, request: HeartbeatRequest): void {
    const changes = collectChanges(this.site, request.manifestVersion, request.manifestDigest);
    if (!changes) {
      reply.manifest = formatCanonicalJson(this.site.manifest);
      return;
    }
    reply.delta = {
      baseVersion: request.manifestVersion, baseDigest: request.manifestDigest, changes,
    };
  }

  private async forwardSubmit(request: SubmitRequest, operation: Operation): Promise<SubmitReply> {
    const address = this.leaderAddress;
    const ownAddress = this.settings.address;
    if (request.forwarded || address === '' || address === ownAddress) {
      throw new BeechliftError('noQuorum', `replica "${this.settings.id}" knows no leader with a valid lease`);
    }
    return this.port.forwardSubmit({ ...request, forwarded: true }, address, operation);
  }

  private requireOperator(key: string): void {
    const operators = Object.values(this.site.manifest?.operators ?? {});
    const hashes = this.site.manifest
      ? operators.map(({ keyHash }) => keyHash)
      : [this.settings.firstOperatorKeyHash];
    if (!isKeyOf(key, hashes)) throw new BeechliftError('operatorUnknown', 'the operator key is not in the manifest');
  }

  private applyCommand(text: string): SubmitResult | undefined {
    return applySiteCommand(this.site, JSON.parse(text) as SiteCommand);
  }

  private restoreSnapshot(snapshot: Snapshot): void {
    this.site = snapshot.data === '' ? makeSiteState() : parseSiteState(snapshot.data);
  }

  private findReplica(id: string): Replica | undefined {
    return listReplicas(this.runner.state.replicas).find((replica) => replica.id === id);
  }

  private sendMessage(message: LogMessage): void {
    const address = this.findReplica(message.to)?.address ?? this.findConfiguredAddress(message.to);
    if (address) this.port.sendMessage(message, address);
  }

  private findConfiguredAddress(id: string): string | undefined {
    return this.settings.replicas.find((replica) => replica.id === id)?.address;
  }

  private handleRoleChange(role: LogRole, term: number): void {
    this.logger.info('role changed', { role, term });
    if (role !== 'leader') return;
    this.leadingSince = this.clock.now();
    this.memberTable.clear();
  }
}
