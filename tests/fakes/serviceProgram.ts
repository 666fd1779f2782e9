/** Program of a service whose answers have no length, so that tests can kill its process. */
import { FakeService } from './fakeService';

const [, , id = '', ...entries] = process.argv;
const ANNOUNCE_MS = 200;
const WORK_MS = 5_000;

const service = new FakeService(id, entries);
service.isCloseDelimited = true;
service.workMs = WORK_MS;
await service.start();
setInterval(() => {
  // The next announcement follows soon.
  service.announce().catch(() => undefined);
  process.send?.(service.calls.length);
}, ANNOUNCE_MS);
