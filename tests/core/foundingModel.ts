import { makeUndecidedReply, planFounding } from '../../src/core/log/foundingPlan';
import type { MeetReply, Replica } from '../../src/protocol/generated/beechlift';

/** Decides how a replica that knows no site continues. */
export type FoundingPlanner = typeof planFounding;

/** An event on one seed, or on one message. */
export type FoundingEvent = | { readonly kind: 'start' | 'sync' | 'endRound' | 'dropDisk'; readonly seed: number }
  | { readonly kind: 'kill'; readonly seed: number; readonly isWritten: boolean }
  | { readonly kind: 'deliver' | 'lose'; readonly pick: number }
  /** A round of questions; those to the seeds of the bit mask `late` stay on their way. */
  | { readonly kind: 'round'; readonly seed: number; readonly late: number }
  | { readonly kind: 'lead'; readonly seed: number; readonly reached: number };

interface Disk {
  id: string;
  /** Whether the identity was stored at the declared first start. */
  isDeclared: boolean;
  founders: readonly Replica[] | undefined;
}

interface Process {
  /** What is being written; it counts once it is synced. */
  write: Partial<Disk> | undefined;
  round: number;
  isAsking: boolean;
  replies: Map<string, MeetReply>;
  candidates: readonly Replica[];
  leaderAddress: string;
}

interface Machine {
  readonly address: string;
  disk: Disk;
  process: Process | undefined;
  wasStarted: boolean;
}

interface Message {
  readonly asker: Machine;
  readonly process: Process;
  readonly round: number;
  readonly asked: Machine;
  /** Undefined while the question is on its way. */
  readonly reply?: MeetReply;
}

const makeDisk = (): Disk => ({ id: '', isDeclared: false, founders: undefined });

const makeProcess = (): Process => ({
  write: undefined, round: 0, isAsking: false, replies: new Map(), candidates: [], leaderAddress: '',
});

// eslint-disable-next-line no-bitwise -- one bit for each machine
const isInMask = (mask: number, position: number): boolean => (mask & (1 << position)) !== 0;

/**
 * Model of the founding of a site. Each seed stores its identity and later the founders, and asks
 * the others in rounds. Processes are killed at any moment, disks are lost up to a limit, messages
 * are lost or late.
 */
export class FoundingModel {
  /** Sets of identities that have voted for the same leader. */
  readonly quorums: string[][] = [];

  private readonly machines: readonly Machine[];

  private network: Message[] = [];

  private identityCount = 0;

  private lossCount = 0;

  constructor(
    seedCount: number,
    private readonly maxDiskLosses: number,
    private readonly plan: FoundingPlanner = planFounding,
  ) {
    this.machines = Array.from({ length: seedCount }, (unused, position) => ({
      address: `m${position}`, disk: makeDisk(), process: undefined, wasStarted: false,
    }));
  }

  run(event: FoundingEvent): void {
    const runners: { [Kind in FoundingEvent['kind']]: (
      event: Extract<FoundingEvent, { kind: Kind }>,
    ) => void } = {
      start: ({ seed }) => this.start(this.pickMachine(seed)),
      sync: ({ seed }) => this.sync(this.pickMachine(seed)),
      endRound: ({ seed }) => this.endRound(this.pickMachine(seed)),
      dropDisk: ({ seed }) => this.dropDisk(this.pickMachine(seed)),
      kill: ({ seed, isWritten }) => this.kill(this.pickMachine(seed), isWritten),
      deliver: ({ pick }) => this.deliver(this.takeMessage(pick)),
      lose: ({ pick }) => {
        this.takeMessage(pick);
      },
      round: ({ seed, late }) => this.runRound(this.pickMachine(seed), late),
      lead: ({ seed, reached }) => this.lead(this.pickMachine(seed), reached),
    };
    (runners[event.kind] as (event: FoundingEvent) => void)(event);
  }

  /** Pairs of quorums without a common replica: two leaders could have accepted changes. */
  listSplits(): string[] {
    return this.quorums.flatMap((quorum, position) => this.quorums.slice(position + 1)
      .filter((other) => !other.some((id) => quorum.includes(id)))
      .map((other) => `${quorum.join(' ')} | ${other.join(' ')}`));
  }

  /** Whether a stored list of founders, or a declared founder that looks for others, remains. */
  get canForm(): boolean {
    return this.machines.some(({ disk }) => (
      disk.founders ? disk.founders.length > 0 : disk.isDeclared));
  }

  /** Lets all seeds run undisturbed. */
  settle(): void {
    Array.from({ length: 8 }).forEach(() => {
      this.machines.forEach((machine) => {
        this.start(machine);
        this.sync(machine);
        this.ask(machine);
      });
      while (this.network.length > 0) this.deliver(this.takeMessage(0));
      this.machines.forEach((machine) => this.endRound(machine));
    });
  }

  /** Whether a replica finds a majority of its voters. */
  holdsElection(): boolean {
    const before = this.quorums.length;
    this.machines.forEach((machine) => this.lead(machine, -1));
    return this.quorums.length > before;
  }

  /** Formats what the disks hold. */
  formatState(): string {
    return this.machines.map(({ address, disk }) => {
      const founders = disk.founders?.map(({ id }) => id).join(' ');
      return `${address} ${disk.id}${disk.isDeclared ? ' declared' : ''}: ${founders ?? 'undecided'}`;
    }).join('\n');
  }

  private pickMachine(seed: number): Machine {
    return this.machines[seed % this.machines.length] as Machine;
  }

  private takeMessage(pick: number): Message | undefined {
    return this.network.splice(pick % Math.max(1, this.network.length), 1)[0];
  }

  private start(machine: Machine): void {
    if (machine.process) return;
    const isDeclared = !machine.wasStarted;
    machine.wasStarted = true;
    machine.process = makeProcess();
    if (machine.disk.id !== '') return;
    this.identityCount += 1;
    machine.process.write = { id: `${machine.address}-${this.identityCount}`, isDeclared };
  }

  private sync({ process, disk }: Machine): void {
    if (!process?.write) return;
    Object.assign(disk, process.write);
    process.write = undefined;
  }

  /** Ends a process; what it was writing may be on the disk or not. */
  private kill(machine: Machine, isWritten: boolean): void {
    if (isWritten) this.sync(machine);
    machine.process = undefined;
  }

  private dropDisk(machine: Machine): void {
    if (!machine.wasStarted || this.lossCount >= this.maxDiskLosses) return;
    if (machine.disk.id !== '') this.lossCount += 1;
    machine.process = undefined;
    machine.disk = makeDisk();
  }

  private readSelf({ address, disk: { id } }: Machine): Replica {
    return { id, address, zone: '' };
  }

  private isUndecided({ process, disk }: Machine): boolean {
    return process !== undefined && !process.write && disk.founders === undefined;
  }

  private ask(asker: Machine): void {
    const { process } = asker;
    if (!process || process.isAsking || !this.isUndecided(asker)) return;
    process.isAsking = true;
    process.round += 1;
    process.replies = new Map();
    const { round } = process;
    this.network.push(...this.machines.filter((asked) => asked !== asker).map((asked) => ({
      asker, process, round, asked,
    })));
  }

  private runRound(asker: Machine, late: number): void {
    this.ask(asker);
    const isLate = ({ asked }: Message): boolean => isInMask(late, this.machines.indexOf(asked));
    const own = this.network.filter((message) => message.asker === asker && !isLate(message));
    this.network = this.network.filter((message) => !own.includes(message));
    own.forEach((message) => {
      const count = this.network.length;
      this.deliver(message);
      this.network.splice(count).forEach((reply) => this.deliver(reply));
    });
    const isEnded = !this.network.some(({ process }) => process === asker.process);
    if (isEnded) this.endRound(asker);
  }

  private deliver(message: Message | undefined): void {
    if (!message) return;
    const {
      asker, process, round, asked, reply,
    } = message;
    if (reply) {
      const isAwaited = asker.process === process && process.round === round && process.isAsking;
      if (isAwaited) process.replies.set(asked.address, reply);
      return;
    }
    const answer = this.answer(asked);
    if (answer) this.network.push({ ...message, reply: answer });
  }

  private answer(machine: Machine): MeetReply | undefined {
    const { process, disk } = machine;
    if (!process || disk.id === '') return undefined;
    const self = this.readSelf(machine);
    if (!disk.founders) return makeUndecidedReply(self, disk.isDeclared);
    return {
      self, founded: true, founders: [...disk.founders], leaderAddress: process.leaderAddress,
    };
  }

  private endRound(machine: Machine): void {
    const { process, disk } = machine;
    if (!process?.isAsking || !this.isUndecided(machine)) return;
    process.isAsking = false;
    const plan = this.plan({
      self: this.readSelf(machine),
      seeds: disk.isDeclared ? this.machines.map(({ address }) => address) : [],
      replies: process.replies,
      previous: process.candidates,
      maxDiskLosses: this.maxDiskLosses,
    });
    if (plan.kind === 'wait') process.candidates = plan.candidates;
    else process.write = { founders: plan.kind === 'found' ? plan.founders : [] };
  }

  /** Lets a replica lead if the replicas that it reaches are a majority of its voters. */
  private lead({ address, process, disk }: Machine, reached: number): void {
    const voters = disk.founders ?? [];
    if (!process || process.write || voters.length === 0) return;
    const voting = this.machines.filter((machine, position) => (
      machine.process
      && !machine.process.write
      && machine.disk.founders !== undefined
      && (machine.address === address || isInMask(reached, position))
      && voters.some(({ id }) => id === machine.disk.id)));
    if (2 * voting.length <= voters.length) return;
    this.quorums.push(voting.map(({ disk: { id } }) => id));
    voting.forEach((machine) => {
      (machine.process as Process).leaderAddress = address;
    });
  }
}
