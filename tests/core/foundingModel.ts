import { isSameList } from '../../src/core/log/foundingPlan';
import { FoundingRounds } from '../../src/core/log/foundingRounds';
import type { MeetReply, MeetRequest, Replica } from '../../src/protocol/generated/beechlift';

/** An event on one seed, or on one message. */
export type FoundingEvent = | {
  readonly kind: 'start' | 'startDeclared' | 'sync' | 'collect' | 'endRound' | 'dropDisk';
  readonly seed: number;
}
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
  /** Undefined until the identity is stored. */
  rounds: FoundingRounds | undefined;
  round: number;
  isAsking: boolean;
  replies: Map<string, MeetReply>;
  leaderAddress: string;
}

interface Machine {
  readonly address: string;
  disk: Disk;
  process: Process | undefined;
  wasStarted: boolean;
  /** Whether a disk with an identity was lost: the settings never declare a first start then. */
  hasLostDisk: boolean;
}

interface Message {
  readonly asker: Machine;
  readonly process: Process;
  readonly round: number;
  readonly asked: Machine;
  readonly request: MeetRequest;
  /** Undefined while the question is on its way. */
  readonly reply?: MeetReply;
}

const makeDisk = (): Disk => ({ id: '', isDeclared: false, founders: undefined });

const makeProcess = (): Process => ({
  write: undefined,
  rounds: undefined,
  round: 0,
  isAsking: false,
  replies: new Map(),
  leaderAddress: '',
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

  /** Lists of founders that a majority of these founders had stored at some moment. */
  readonly sites = new Set<string>();

  /** What the disks held whenever they held different lists of founders. */
  readonly listDifferences: string[] = [];

  private readonly machines: readonly Machine[];

  private network: Message[] = [];

  private identityCount = 0;

  private lossCount = 0;

  constructor(
    seedCount: number,
    private readonly maxDiskLosses: number,
  ) {
    this.machines = Array.from({ length: seedCount }, (unused, position) => ({
      address: `m${position}`, disk: makeDisk(), process: undefined, wasStarted: false, hasLostDisk: false,
    }));
  }

  run(event: FoundingEvent): void {
    const runners: { [Kind in FoundingEvent['kind']]: (
      event: Extract<FoundingEvent, { kind: Kind }>,
    ) => void } = {
      start: ({ seed }) => this.start(this.pickMachine(seed)),
      startDeclared: ({ seed }) => this.startDeclared(this.pickMachine(seed)),
      sync: ({ seed }) => this.sync(this.pickMachine(seed)),
      collect: ({ seed }) => this.collect(this.pickMachine(seed), 0),
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
    this.recordListDifferences();
    this.recordSites();
  }

  /** Pairs of quorums without a common replica: two leaders could have accepted changes. */
  listSplits(): string[] {
    return this.quorums.flatMap((quorum, position) => this.quorums.slice(position + 1)
      .filter((other) => !other.some((id) => quorum.includes(id)))
      .map((other) => `${quorum.join(' ')} | ${other.join(' ')}`));
  }

  /**
   * Whether a majority of the decided founders remains, or enough declared seeds without a list. A
   * seed that is asking may still decide on one whose disk is lost by now.
   */
  get canForm(): boolean {
    const count = this.machines.length;
    const [list] = this.machines.flatMap(({ disk, process }) => {
      const founders = process?.write?.founders ?? disk.founders;
      return founders && founders.length > 0 ? [founders] : [];
    });
    if (list) {
      const left = list.filter(({ id }) => this.machines.some(({ disk }) => disk.id === id));
      return 2 * left.length > list.length;
    }
    const hasJoiner = this.machines.some(({ disk }) => disk.founders !== undefined);
    const kept = this.machines.filter(({ hasLostDisk }) => !hasLostDisk);
    const declared = kept.filter(({ disk, wasStarted, process }) => (
      disk.isDeclared || process?.write?.isDeclared === true || !wasStarted));
    return !hasJoiner && 2 * kept.length > count && 2 * declared.length >= count;
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

  /** Lists of founders on the disks; empty ones are of replicas that join. */
  private listStored(): (readonly Replica[])[] {
    return this.machines.flatMap(({ disk: { founders } }) => (
      founders && founders.length > 0 ? [founders] : []));
  }

  /** Records each list that a majority of its founders has stored, as these may accept changes. */
  private recordSites(): void {
    this.listStored().forEach((list) => {
      const founders = this.machines.filter(({ disk }) => (
        list.some(({ id }) => id === disk.id) && isSameList(disk.founders ?? [], list)));
      if (2 * founders.length > list.length) this.sites.add(list.map(({ id }) => id).join(' '));
    });
  }

  private recordListDifferences(): void {
    const [first, ...others] = this.listStored();
    if (first && others.some((list) => !isSameList(list, first))) {
      this.listDifferences.push(this.formatState());
    }
  }

  /** Restarts a seed with settings that still declare the first start. */
  private startDeclared(machine: Machine): void {
    if (!machine.hasLostDisk) this.start(machine, true);
  }

  private start(machine: Machine, isDeclared = !machine.wasStarted): void {
    if (machine.process) return;
    const process = makeProcess();
    Object.assign(machine, { wasStarted: true, process });
    const { disk } = machine;
    if (disk.id === '') {
      this.identityCount += 1;
      process.write = { id: `${machine.address}-${this.identityCount}`, isDeclared };
    } else if (isDeclared && !disk.isDeclared) {
      process.write = { isDeclared };
    } else {
      this.openRounds(machine);
    }
  }

  private sync(machine: Machine): void {
    const { process, disk } = machine;
    if (!process?.write) return;
    Object.assign(disk, process.write);
    process.write = undefined;
    if (!process.rounds) this.openRounds(machine);
  }

  private openRounds(machine: Machine): void {
    const seeds = machine.disk.isDeclared ? this.machines.map(({ address }) => address) : [];
    if (machine.process) {
      machine.process.rounds = new FoundingRounds(this.readSelf(machine), seeds);
    }
  }

  /** Ends a process; what it was writing may be on the disk or not. */
  private kill(machine: Machine, isWritten: boolean): void {
    if (isWritten) this.sync(machine);
    machine.process = undefined;
  }

  private dropDisk(machine: Machine): void {
    if (!machine.wasStarted || this.lossCount >= this.maxDiskLosses) return;
    if (machine.disk.id !== '') {
      this.lossCount += 1;
      machine.hasLostDisk = true;
    }
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
    if (!process?.rounds || process.isAsking || !this.isUndecided(asker)) return;
    process.isAsking = true;
    process.round += 1;
    process.replies = new Map();
    const { round } = process;
    const request = process.rounds.begin();
    this.network.push(...this.machines.filter((asked) => asked !== asker).map((asked) => ({
      asker, process, round, asked, request,
    })));
  }

  private runRound(asker: Machine, late: number): void {
    this.collect(asker, late);
    const isEnded = !this.network.some(({ process }) => process === asker.process);
    if (isEnded) this.endRound(asker);
  }

  /** Asks, and collects the replies of those that are not late; the round goes on. */
  private collect(asker: Machine, late: number): void {
    this.ask(asker);
    const isLate = ({ asked }: Message): boolean => isInMask(late, this.machines.indexOf(asked));
    const own = this.network.filter((message) => message.asker === asker && !isLate(message));
    this.network = this.network.filter((message) => !own.includes(message));
    own.forEach((message) => {
      const count = this.network.length;
      this.deliver(message);
      this.network.splice(count).forEach((reply) => this.deliver(reply));
    });
  }

  private deliver(message: Message | undefined): void {
    if (!message) return;
    const {
      asker, process, round, asked, request, reply,
    } = message;
    if (reply) {
      const isAwaited = asker.process === process && process.round === round && process.isAsking;
      if (isAwaited) process.replies.set(asked.address, reply);
      return;
    }
    const answer = this.answer(asked, request);
    if (answer) this.network.push({ ...message, reply: answer });
  }

  private answer(machine: Machine, request: MeetRequest): MeetReply | undefined {
    const { process, disk } = machine;
    if (!process?.rounds) return undefined;
    if (!disk.founders) return process.rounds.answer(request);
    return {
      self: this.readSelf(machine),
      founded: true,
      founders: [...disk.founders],
      leaderAddress: process.leaderAddress,
    };
  }

  private endRound(machine: Machine): void {
    const { process } = machine;
    if (!process?.rounds || !process.isAsking || !this.isUndecided(machine)) return;
    process.isAsking = false;
    const plan = process.rounds.end(process.replies);
    if (plan.kind === 'wait') return;
    process.write = { founders: plan.kind === 'found' ? plan.founders : [] };
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
