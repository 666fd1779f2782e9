import { isReplicaSetCommitted, listReplicas } from '../../src/core/log/logState';
import type { LogMessage, Replica } from '../../src/protocol/generated/beechlift';
import { Operation } from '../../src/utils/operation';
import type { UnsyncedWriteState } from '../fakes/powerLossFileSystem';
import { ModelMachine } from './modelMachine';
import type { ReplicaProcess } from './modelMachine';
import { settleTasks, startSeries } from './startSeries';
import type { LastFault, SiteEvent, SiteSize } from './siteEvents';

interface PendingMessage {
  readonly message: LogMessage;
  readonly address: string;
}

/** Number of replicas that found a site. */
const SEEDS = 3;
const CONTACT_TIMEOUT_MS = 1_000;
const ROUND_MS = 60;

/**
 * Model of the replicas of a site on disks that lose unsynced writes. The identities, the log, its
 * store and the replica set manager are the real classes.
 */
export class AcknowledgedModel {
  now = 0;

  /** Highest acknowledged version. */
  acknowledged = 0;

  acknowledgements = 0;

  readonly machines: ModelMachine[];

  /** Smallest number of voters that a leader had since the site was founded. */
  minVoters = Infinity;

  /** Errors of machines that could not start, or whose disk failed. */
  readonly failures: string[] = [];

  private network: PendingMessage[] = [];

  private published = 0;

  private isOver = false;

  private readonly unrepairedLosses = new Map<string, string>();

  /** Lost identities, with the address of their machine. */
  private readonly lostIdentities = new Map<string, string>();

  constructor(
    private readonly size: SiteSize,
    private readonly drawRandom: () => number,
    private readonly onAcknowledged: () => void,
  ) {
    const site = {
      clock: { now: () => this.now },
      voterCount: this.voterCount,
      send: (message: LogMessage) => {
        this.network.push({ message, address: this.findAddress(message.to) });
      },
      recordFailure: (failure: string) => {
        this.failures.push(failure);
      },
    };
    this.machines = Array.from({ length: size.machines }, (unused, position) => (
      new ModelMachine(`m${position}`, site)));
  }

  /** Founds the site, and waits until it has its target number of voters. */
  async foundSite(): Promise<void> {
    const seeds = this.machines.slice(0, SEEDS);
    const records = await Promise.all(this.machines.map((machine) => machine.prepareDisk()));
    const founders = seeds.map(({ address, replicaId }) => ({ id: replicaId, address, zone: '' }));
    await Promise.all(records.map((record, position) => (
      record.saveFounders(position < seeds.length ? founders : []))));
    this.machines.forEach((machine) => {
      machine.files.isSyncImmediate = false;
      machine.start();
    });
    await this.runRounds(60, ROUND_MS);
    const voters = this.findLeader()?.runner.state.replicas.voters.length;
    if (voters !== this.voterCount) throw new Error(`founded with ${voters} voters`);
    this.minVoters = Infinity;
  }

  async run(event: SiteEvent): Promise<void> {
    if (this.isOver) return;
    const runners: { [Kind in SiteEvent['kind']]: (
      event: Extract<SiteEvent, { kind: Kind }>,
    ) => Promise<void> | void } = {
      advance: ({ ms }) => this.advance(ms),
      round: ({ ms, count }) => this.runRounds(count, ms),
      deliver: ({ pick }) => this.deliver(this.takeMessage(pick)),
      lose: ({ pick }) => {
        this.takeMessage(pick);
      },
      publish: () => this.machines.forEach((machine) => this.publish(machine)),
      sync: ({ machine }) => this.pickMachine(machine).files.finishSyncs(),
      compact: ({ machine }) => this.pickMachine(machine).compact(),
      kill: ({ machine }) => this.pickMachine(machine).kill(),
      stop: ({ machine }) => this.pickMachine(machine).stop(),
      remove: ({ machine }) => this.pickMachine(machine).remove(),
      restartBusy: () => this.restartBusy(),
      cutPower: ({ machine }) => this.cutPower(this.pickMachine(machine)),
      dropDisk: ({ machine }) => this.dropDisk(this.pickMachine(machine)),
      freeze: ({ machine }) => {
        const picked = this.pickMachine(machine);
        picked.isFrozen = !picked.isFrozen;
      },
      start: ({ machine }) => this.pickMachine(machine).start(),
      cutPowerOfAll: () => this.machines.forEach((machine) => this.cutPower(machine)),
      killAll: () => this.machines.forEach((machine) => machine.kill()),
      startAll: () => this.machines.forEach((machine) => machine.start()),
    };
    await (runners[event.kind] as (event: SiteEvent) => Promise<void> | void)(event);
    this.checkLeaseHolders();
    await settleTasks();
    this.checkLeaseHolders();
  }

  /** Records a replica that may answer for the site, and would answer with an older version. */
  private checkLeaseHolders(): void {
    this.machines.forEach(({ address, replica, isFrozen }) => {
      if (isFrozen || !replica?.runner.holdsLease || replica.version >= this.acknowledged) return;
      this.failures.push(`${address} holds the lease with version ${replica.version} after ${this.acknowledged} was acknowledged`);
    });
  }

  /** Removes disks of voters: at random, or first those with the latest acknowledged version. */
  endRun(fault: LastFault, targetsNewest: boolean): void {
    if (this.isOver) return;
    this.isOver = true;
    const remaining = this.size.losses - this.listUnrepaired().size;
    const order = this.machines
      .filter(({ replicaId }) => this.listVoters().has(replicaId))
      .map((machine) => ({
        machine,
        rank: (targetsNewest && machine.holds(this.acknowledged) ? 0 : 1) + this.drawRandom(),
      }))
      .sort((a, b) => a.rank - b.rank);
    order.slice(0, Math.max(0, remaining)).forEach(({ machine }) => this.removeDisk(machine));
    if (fault === 'killAll') this.machines.forEach((machine) => machine.kill());
    if (fault === 'cutPower') this.machines.forEach((machine) => this.cutPower(machine));
  }

  /** Restarts all machines; resolves with the version that the leader then has. */
  async recover(): Promise<number> {
    this.isOver = true;
    this.machines.forEach((machine) => {
      machine.isFrozen = false;
      machine.start();
    });
    await settleTasks();
    return this.readBack(40);
  }

  private async readBack(tries: number): Promise<number> {
    await this.runRounds(10, ROUND_MS);
    const leader = this.findLeader();
    if (leader) return leader.version;
    if (tries === 0) throw new Error(`nobody leads: ${this.formatState()}`);
    return this.readBack(tries - 1);
  }

  /** Position of a machine whose replica votes and does not lead; and of the leader. */
  findVoters(): { readonly follower: number; readonly leader: number } {
    const leading = this.findLeader();
    const voters = this.listVoters();
    return {
      follower: this.machines.findIndex(({ replica, replicaId }) => (
        replica !== leading && voters.has(replicaId))),
      leader: this.machines.findIndex(({ replica }) => replica === leading),
    };
  }

  /** Runs small rounds until a machine that was told to stop has ended, for 5 s at most. */
  async runUntilEnded(position: number, rounds = 200): Promise<void> {
    if (!this.machines[position]?.isRunning || rounds === 0) return;
    await this.runRounds(1, 25);
    await this.runUntilEnded(position, rounds - 1);
  }

  /** Counts the replicas in the set of the leader. */
  countReplicas(): { readonly voters: number; readonly learners: number } {
    const { voters = [], learners = [] } = this.findLeader()?.runner.state.replicas ?? {};
    return { voters: voters.length, learners: learners.length };
  }

  private findLeader(): ReplicaProcess | undefined {
    return this.machines.map(({ replica }) => replica)
      .find((replica) => replica?.runner.holdsLease);
  }

  /** Formats the view of each machine; lost identities are marked. */
  private formatState(): string {
    const formatIds = (replicas: readonly Replica[]) => replicas.map(({ id }) => (
      `${this.findAddress(id)}${this.lostIdentities.has(id) ? ' gone' : ''}`)).join(', ');
    return this.machines.map(({ address, replica }) => {
      if (!replica) return `${address} down`;
      const { role, term, replicas } = replica.runner.state;
      const sets = `voters ${formatIds(replicas.voters)}; learners ${formatIds(replicas.learners)}`;
      return `${address} ${role} of term ${term}; ${sets}`;
    }).join('\n');
  }

  private get voterCount(): number {
    return 2 * this.size.losses + 1;
  }

  private pickMachine(position: number): ModelMachine {
    return this.machines[position % this.machines.length] as ModelMachine;
  }

  private takeMessage(pick: number): PendingMessage | undefined {
    return this.network.splice(pick % Math.max(1, this.network.length), 1)[0];
  }

  private listVoters(): Set<string> {
    return new Set(this.machines.flatMap(({ replica }) => (
      replica?.runner.state.replicas.voters.map(({ id }) => id) ?? [])));
  }

  /** Machines whose lost disk is not replaced yet: the lost identity may still be a voter. */
  private listUnrepaired(): Set<string> {
    const state = this.findLeader()?.runner.state;
    if (state && isReplicaSetCommitted(state)) {
      const ids = new Set(listReplicas(state.replicas).map(({ id }) => id));
      this.unrepairedLosses.forEach((address, replicaId) => {
        if (!ids.has(replicaId)) this.unrepairedLosses.delete(replicaId);
      });
    }
    return new Set(this.unrepairedLosses.values());
  }

  private findAddress(id: string): string {
    const machine = this.machines.find(({ replicaId }) => replicaId === id);
    return machine?.address ?? this.lostIdentities.get(id) ?? id;
  }

  private advance(ms: number): void {
    this.now += ms;
    this.machines.filter(({ isFrozen }) => !isFrozen).forEach((machine) => this.tick(machine));
  }

  private tick(machine: ModelMachine): void {
    const { replica } = machine;
    if (!replica) return;
    replica.runner.handle({ kind: 'tick' });
    machine.tickStop();
    if (!machine.isRunning) return;
    if (!replica.runner.holdsLease) {
      this.requestJoin(replica);
      return;
    }
    const count = replica.runner.state.replicas.voters.length;
    this.minVoters = Math.min(this.minVoters, count);
    replica.replicaSetManager.reconcile(replica.runner, replica.leadingSince);
    this.listUnrepaired();
  }

  private requestJoin({ self, runner: { state } }: ReplicaProcess): void {
    if (state.role === 'leader' || this.now - state.lastLeaderContactAt <= CONTACT_TIMEOUT_MS) return;
    const leaders = this.machines.filter(({ replica, isFrozen }) => (
      !isFrozen && replica?.runner.state.role === 'leader'));
    leaders.forEach(({ replica }) => replica?.replicaSetManager.recordJoinRequest(self));
  }

  private async runRounds(count: number, ms: number): Promise<void> {
    await startSeries(Array.from({ length: count }), async () => {
      this.advance(ms);
      await this.deliverAll();
    });
  }

  /** Completes syncs and delivers messages, including the replies to them. */
  private async deliverAll(): Promise<void> {
    await startSeries([1, 2, 3, 4], async () => {
      await settleTasks();
      this.machines.forEach(({ files, isFrozen }) => !isFrozen && files.finishSyncs());
      await settleTasks();
      this.network.splice(0).forEach((pending) => this.deliver(pending));
    });
    await settleTasks();
  }

  private deliver(pending: PendingMessage | undefined): void {
    const machine = this.machines.find(({ address }) => address === pending?.address);
    if (!pending || !machine?.replica || machine.isFrozen) return;
    machine.replica.replicaSetManager.recordMessage(pending.message);
    machine.replica.runner.handle({ kind: 'message', message: pending.message });
  }

  private publish({ replica, isFrozen }: ModelMachine): void {
    if (isFrozen || !replica?.runner.holdsLease) return;
    this.published += 1;
    const version = this.published;
    replica.runner.propose(
      JSON.stringify({ version, text: 'x'.repeat(50) }),
      new Operation({ timeoutMs: 3_000, clock: { now: () => this.now } }),
    ).then(() => {
      if (this.isOver) return;
      this.acknowledged = Math.max(this.acknowledged, version);
      this.acknowledgements += 1;
      this.onAcknowledged();
    }).catch(() => undefined); // Not acknowledged.
  }

  /** Kills a process in the middle of a sync, and starts it again. */
  private restartBusy(): void {
    const syncing = this.machines.filter(({ files }) => files.isSyncing);
    const machine = syncing[Math.floor(this.drawRandom() * syncing.length)];
    if (!machine) return;
    machine.kill();
    machine.start();
  }

  private cutPower(machine: ModelMachine): void {
    machine.cutPower(() => this.drawFate());
  }

  private dropDisk(machine: ModelMachine): void {
    const unrepaired = this.listUnrepaired();
    if (unrepaired.size >= this.size.losses && !unrepaired.has(machine.address)) return;
    this.removeDisk(machine);
  }

  private removeDisk(machine: ModelMachine): void {
    if (machine.replicaId !== '') {
      this.lostIdentities.set(machine.replicaId, machine.address);
      this.unrepairedLosses.set(machine.replicaId, machine.address);
    }
    machine.replaceDisk();
  }

  private drawFate(): UnsyncedWriteState {
    const draw = this.drawRandom();
    if (draw < 0.4) return 'missing';
    return draw < 0.7 ? 'torn' : 'present';
  }
}
