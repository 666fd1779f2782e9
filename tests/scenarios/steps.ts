import {
  After, Given, setDefaultTimeout, setWorldConstructor, Then, When, World,
} from '@cucumber/cucumber';
import { OperatorClient } from '../../src/cli/operatorClient';
import type { VerifyRecord } from '../../src/verify/records';
import { verifyRecords } from '../../src/verify/verifyRecords';
import { makeExpectedText } from '../fakes/engineModel';
import type { FakeEngine } from '../fakes/fakeEngine';
import { SilentProxy } from '../fakes/silentProxy';
import {
  makeManifest, OPERATOR_KEY, TestSite, waitUntil,
} from '../fakes/testSite';
import type { Answer, SiteProcess } from '../fakes/testSite';

const TOKENS = 30;
const NEW_MODEL = 'new';
const STEP_TIMEOUT_MS = 90_000;

setDefaultTimeout(STEP_TIMEOUT_MS);

interface Caller {
  readonly key: string;
  readonly prompt: string;
  answer: Answer | undefined;
  pending: Promise<void>;
}

/** State of a scenario: its site, its callers, and the records of callers and engines. */
class ScenarioWorld extends World {
  readonly site = new TestSite();

  readonly callers: Caller[] = [];

  readonly records: VerifyRecord[] = [];

  readonly proxies: SilentProxy[] = [];

  /** Number of requests that were dispatched to an engine before it left. */
  dispatchedBeforeLeaving = 0;

  /** The entry that owned the pool and was killed. */
  owner: SiteProcess | undefined;

  private sendCount = 0;

  findEntry(position: number): SiteProcess {
    return this.site.entries[position - 1] as SiteProcess;
  }

  findEngine(position: number): FakeEngine {
    return this.site.engines[position - 1] as FakeEngine;
  }

  countDispatched(): number {
    return this.site.engines.reduce((sum, { dispatched }) => sum + dispatched.length, 0);
  }

  /** Sends a request; a broken connection counts as an answer with status 0. */
  async send(caller: Caller, entry: SiteProcess): Promise<void> {
    this.sendCount += 1;
    const request = `r${this.sendCount}`;
    const { key, prompt } = caller;
    this.records.push({
      kind: 'sent', request, identity: key, prompt,
    });
    const answer = await this.site.send(entry, prompt, { key, tokens: TOKENS })
      .catch(() => undefined);
    this.records.push({
      kind: 'answer',
      request,
      status: answer?.status ?? 0,
      run: (answer?.body.error?.run ?? '') as 'notRun' | '',
      text: answer?.status === 200 ? answer.text : '',
      expected: makeExpectedText(prompt, TOKENS),
    });
    if (answer) caller.answer = answer;
  }

  async waitForAnswers(): Promise<void> {
    await Promise.all(this.callers.map(({ pending }) => pending));
  }

  listRecords(): VerifyRecord[] {
    const dispatches = this.site.engines.flatMap((engine) => engine.dispatches);
    return [...this.records, ...dispatches];
  }
}

setWorldConstructor(ScenarioWorld);

After(async function stopSite(this: ScenarioWorld) {
  await this.site.stop();
  this.proxies.forEach((proxy) => proxy.stop());
});

Given('a site of {int} control replica(s), {int} entries and {int} engine(s) with {int} slots', async function startSite(this: ScenarioWorld, controls: number, entries: number, engines: number, slots: number) {
  await this.site.start(controls, entries);
  await Promise.all(Array.from({ length: engines }, (unused, position) => this.site.addEngine(`g${position + 1}`, { slots, decodeMs: 8 })));
});

Given('a proxy in front of engine {int}', async function addProxy(this: ScenarioWorld, position: number) {
  const engine = this.site.engines[position - 1];
  if (!engine) throw new Error(`engine ${position} does not exist`);
  const proxy = new SilentProxy(engine.address);
  this.proxies.push(proxy);
  await proxy.start();
  engine.address = proxy.address;
  await engine.announce();
  await engine.announce();
});

const addCallers = (world: ScenarioWorld, count: number): Caller[] => {
  const added = Array.from({ length: count }, (unused, position): Caller => ({
    key: `key-${position}`, prompt: `question ${position}`, answer: undefined, pending: Promise.resolve(),
  }));
  world.callers.push(...added);
  return added;
};

When('{int} callers send requests with keys through entry {int}', function sendThrough(this: ScenarioWorld, count: number, entry: number) {
  addCallers(this, count).forEach((caller) => {
    caller.pending = this.send(caller, this.findEntry(entry));
  });
});

When('{int} callers send requests with keys through every entry at once', async function sendToAll(this: ScenarioWorld, count: number) {
  addCallers(this, count).forEach((caller) => {
    const sends = this.site.entries.map((entry) => this.send(caller, entry));
    caller.pending = Promise.all(sends).then(() => undefined);
  });
  await this.waitForAnswers();
});

When('{int} request(s) has/have been dispatched', async function waitForDispatches(this: ScenarioWorld, count: number) {
  await waitUntil(`${count} requests are dispatched`, () => this.countDispatched() >= count);
});

When('entry {int} is killed', async function killEntry(this: ScenarioWorld, entry: number) {
  await this.site.kill(this.findEntry(entry));
  await this.waitForAnswers();
});

When('every caller without an answer retries through entry {int}', async function retryUnanswered(this: ScenarioWorld, entry: number) {
  const isUnanswered = ({ answer }: Caller) => answer?.status !== 200;
  const sendUnanswered = () => Promise.all(this.callers.filter(isUnanswered)
    .map((caller) => this.send(caller, this.findEntry(entry))));
  await waitUntil('all callers have answers', async () => {
    await sendUnanswered();
    return !this.callers.some(isUnanswered);
  });
});

When('engine {int} becomes slow', function slowEngine(this: ScenarioWorld, position: number) {
  const engine = this.site.engines[position - 1];
  if (engine) engine.model.fault = 'slow';
});

When('the control leader is frozen', async function freezeLeader(this: ScenarioWorld) {
  const { id } = await this.site.readControl();
  const leader = this.site.controls.find((control) => control.id === id);
  if (leader) this.site.freeze(leader, true);
});

When('the proxy drops the traffic of its open connections', function dropTraffic(this: ScenarioWorld) {
  this.proxies.forEach((proxy) => proxy.dropTraffic());
});

When('an operator submits version {int}', async function submit(this: ScenarioWorld, version: number) {
  await this.site.submit(makeManifest(version));
});

When('all processes are killed and restarted', async function restartAll(this: ScenarioWorld) {
  const all = [...this.site.controls, ...this.site.entries];
  await Promise.all(all.map((siteProcess) => this.site.kill(siteProcess)));
  await this.waitForAnswers();
  all.forEach((siteProcess) => this.site.restart(siteProcess));
  await this.site.waitForVersion(1);
});

const submitConcurrently = (world: ScenarioWorld, count: number) => Promise.all(
  Array.from({ length: count }, (unused, position) => new OperatorClient(
    [world.site.controlAddresses[position] ?? ''],
    OPERATOR_KEY,
  ).submit(JSON.stringify(makeManifest(2, { limits: { locateMs: 300 + position } })), 20_000)),
);

When('{int} operators submit different manifests of version 2 through different replicas', async function submitDifferent(this: ScenarioWorld, count: number) {
  this.attach(JSON.stringify(await submitConcurrently(this, count)), 'application/json');
});

When('engine {int} leaves', async function leaveSite(this: ScenarioWorld, position: number) {
  const engine = this.findEngine(position);
  engine.state = 'leaving';
  await engine.announce();
  this.dispatchedBeforeLeaving = engine.dispatched.length;
});

When('entry {int} is shut down', async function shutDown(this: ScenarioWorld, entry: number) {
  await this.site.kill(this.findEntry(entry), 'SIGTERM');
});

Given('the engines accept orders and ignore fencing numbers', async function acceptOrders(this: ScenarioWorld) {
  this.site.engines
    .forEach((engine) => engine.setOrderTraits({ loadMs: 300, ignoresFencing: true }));
});

When('an operator submits version {int} with a new model version', async function submitModel(this: ScenarioWorld, version: number) {
  await this.site.submit(makeManifest(version, {
    models: { guide: { modelVersion: NEW_MODEL } },
    pools: { engines: { kind: 'model', models: ['guide'], checksFencing: false } },
    limits: { locateMs: 300, loadsPerMinute: 120 },
  }));
});

When('one engine has received an order', async function waitForOrder(this: ScenarioWorld) {
  await waitUntil('one engine has received an order', () => (
    this.site.engines.some(({ orders }) => orders.length > 0)));
});

When('the owner of the pool is killed', async function killOwner(this: ScenarioWorld) {
  this.owner = await this.site.findOwner();
  await this.site.kill(this.owner);
});

When('{int} callers send requests with keys through a running entry', function sendThroughRunning(this: ScenarioWorld, count: number) {
  const entry = this.site.entries.find((other) => other !== this.owner) as SiteProcess;
  addCallers(this, count).forEach((caller) => {
    caller.pending = this.send(caller, entry);
  });
});

Then('every engine serves the new model version', async function checkModel(this: ScenarioWorld) {
  await waitUntil('all engines serve the new model version', () => this.site.engines.every(({ appliedOrder }) => (
    appliedOrder?.models[0]?.modelVersion === NEW_MODEL)));
});

Then('no answer was interrupted by an order', function checkOrders(this: ScenarioWorld) {
  const interrupted = this.site.engines
    .reduce((sum, { interruptedByOrders }) => sum + interruptedByOrders, 0);
  if (interrupted > 0) throw new Error(`${interrupted} answers were in progress when an order arrived, expected 0`);
});

Then('engine {int} received at most the {int} requests that were granted before it left', function checkAfterLeaving(this: ScenarioWorld, position: number, granted: number) {
  const late = this.findEngine(position).dispatched.length - this.dispatchedBeforeLeaving;
  if (late > granted) throw new Error(`${late} requests arrived after the engine left, more than were granted`);
});

Then('exactly one is accepted, also after all are submitted again', async function checkSubmissions(this: ScenarioWorld) {
  const replies = await submitConcurrently(this, this.site.controls.length);
  const accepted = replies.filter(({ code }) => code === 0);
  if (accepted.length !== 1) throw new Error(`${accepted.length} submissions were accepted, expected 1`);
});

Then('every entry has version {int} in force', async function checkVersion(this: ScenarioWorld, version: number) {
  await this.site.waitForVersion(version);
});

Then('every caller has its complete answer', async function checkAnswers(this: ScenarioWorld) {
  await this.waitForAnswers();
  const unanswered = this.callers.filter(({ answer }) => answer?.status !== 200);
  if (unanswered.length > 0) throw new Error(`${unanswered.length} callers have no complete answer, first body: ${JSON.stringify(unanswered[0]?.answer?.body)}`);
});

Then('every caller has its complete answer or a refusal marked as not run', async function checkRefusals(this: ScenarioWorld) {
  await this.waitForAnswers();
  const wronglyEnded = this.callers.filter(({ answer }) => answer?.status !== 200 && answer?.body.error?.run !== 'notRun');
  if (wronglyEnded.length > 0) throw new Error(`${wronglyEnded.length} callers have neither a complete answer nor a refusal marked as not run`);
});

Then('no invariant is violated', async function checkInvariants(this: ScenarioWorld) {
  await this.waitForAnswers();
  const broken = verifyRecords(this.listRecords());
  if (broken.length > 0) throw new Error(JSON.stringify(broken, null, 2));
});
