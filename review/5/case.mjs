// An entry of another writer whose address is none, then the final fault: all processes are killed.
import {
  addressOf,
  configuration,
  finish,
  newEntry,
  Record,
  removeFolder,
  send,
  sleep,
  Store,
  temporaryFolder,
  waitReady,
  Worker,
} from '../lab.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const RECOVERY_MS = 12_000;

const record = new Record(new URL('record.txt', import.meta.url));
const folder = temporaryFolder();
const store = new Store();
await store.listen();
const services = [
  { name: 'app', 'health-path': '/health', 'max-connections': 100 },
  {
    name: 'llm',
    'health-path': '/health',
    'max-connections': 360,
    engine: {
      slots: 64,
      models: [
        { name: 'm0', 'weights-mb': 65_100, 'load-s': 1.9, adapters: 3000, 'adapter-mb': 12 },
      ],
      'weights-mb': 66_700,
      'adapter-slots': 26,
      'loads-per-s': 4.2,
    },
  },
];
const route = { host: 'house.example', 'target-latency-ms': 193, priority: 2, 'timeout-ms': 1000 };
const routes = [
  {
    ...route,
    name: 'book',
    'path-prefix': '/book/',
    kind: 'unsafe',
    service: 'app',
    'max-attempts': 1,
  },
  {
    ...route,
    name: 'look',
    'path-prefix': '/look/',
    kind: 'safe',
    service: 'app',
    'max-attempts': 2,
  },
];
store.put('op/config', configuration({ version: 7, routes, services }));
const workers = [];
for (let index = 0; index < 4; index += 1) {
  const worker = new Worker({
    id: `i-${index}`,
    service: 'app',
    zone: `z${1 + (index % 2)}`,
    onRun: (_request, response, id, self) => setTimeout(() => self.reply(response, id), 40),
  });
  await worker.listen(addressOf(100 + index));
  store.put(`servers/${worker.id}`, worker.record);
  workers.push(worker);
}

const first = await newEntry({ folder, store, number: 10, zone: 'z1' });
const seeds = [first.listen.control];
const second = await newEntry({ folder, store, number: 11, zone: 'z2', seeds, ports: first.ports });
const entries = [first, second];
entries.forEach(({ program }) => program.start());
for (const { listen } of entries) {
  if (!(await waitReady(listen.ready))) finish(record, 2, 'an entry did not become ready');
}

const answers = [];
let isOver = false;
async function callers(index) {
  while (!isOver) {
    const { listen } = entries[index % entries.length];
    const isBooking = index % 3 > 0;
    const path = isBooking ? '/book/1' : '/look/1';
    const method = isBooking ? 'POST' : 'GET';
    const answer = await send({ address: listen.front, method, path, deadlineMs: 1000 });
    answers.push(answer);
    record.write(
      `${answer.id} ${method} ${path} ${answer.status ?? answer.error ?? 'gave up'} ${answer.tookMs} ms`,
    );
    await sleep(200);
  }
}
const traffic = Promise.all(Array.from({ length: 6 }, (_, index) => callers(index)));

await sleep(4000);
if (hasTrouble) {
  store.put('servers/a-other', {
    service: 'llm',
    address: '127.0.0.300:8761',
    zone: 'z1',
    slots: 64,
    state: 'ready',
  });
  record.write('another writer puts an entry whose address is none');
}
await sleep(2000);
store.put('op/config', configuration({ version: 9, routes, services }));
const killedAt = Date.now();
entries.forEach(({ program }) => program.kill('SIGKILL'));
await Promise.all(entries.map(({ program }) => program.ended));
record.write('version 9 is acknowledged, and all processes are killed');
await sleep(580);
entries.forEach(({ program }) => program.start());
const backAt = Date.now();
record.write('all processes are started again');
await sleep(RECOVERY_MS + 10_000);
const ready = await Promise.all(
  entries.map(({ listen }) =>
    send({ address: listen.ready, path: '/hyssopspread/readiness', deadlineMs: 500 }),
  ),
);
isOver = true;
await traffic;

const shareOf = (chosen) =>
  chosen.filter(({ status }) => status === 200).length / Math.max(1, chosen.length);
const before = answers.filter(({ sentAt }) => sentAt < killedAt);
const after = answers.filter(({ sentAt }) => sentAt > backAt + RECOVERY_MS);
record.write(
  `served before the final fault: ${shareOf(before).toFixed(2)} of ${before.length}; later than recovery-s after it: ${shareOf(after).toFixed(2)} of ${after.length}; readiness ${ready.map(({ status }) => status).join(' ')}`,
);
const isBroken = shareOf(before) >= 0.25 && shareOf(after) < 0.25;
await Promise.all(entries.map(({ program }) => program.stop()));
workers.forEach((worker) => worker.close());
store.close();
removeFolder(folder);
finish(record, isBroken ? 1 : 0, isBroken ? 'RECOVER is broken' : 'RECOVER holds');
