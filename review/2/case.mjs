// One worker sends, once, bytes that are not a response: how long the entry then answers nobody.
import { Agent } from 'node:http';
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
const TIMEOUT_MS = 1000;
const LENGTH_MS = 20_000;

const record = new Record(new URL('record.txt', import.meta.url));
const folder = temporaryFolder();
const store = new Store();
await store.listen();
const book = {
  name: 'book',
  host: 'house.example',
  'path-prefix': '/book/',
  kind: 'unsafe',
  service: 'app',
  priority: 2,
  'timeout-ms': TIMEOUT_MS,
  'target-latency-ms': 193,
  'max-attempts': 1,
};
store.put('op/config', configuration({ routes: [book] }));

const beganAt = Date.now();
let isSpoiled = false;

/** Answers after 40 ms; the first worker spoils one answer. */
function answer(request, response, id, worker) {
  setTimeout(() => {
    if (!hasTrouble || isSpoiled || worker.id !== 'i-0' || Date.now() - beganAt < 6000) {
      worker.reply(response, id);
      return;
    }
    isSpoiled = true;
    record.write(`worker ${worker.id} spoils its answer to ${id}`);
    request.socket.write(`HTTP/1.1 000 OK\r\nX-Request-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
  }, 40);
}

const workers = [];
for (let index = 0; index < 4; index += 1) {
  const worker = new Worker({ id: `i-${index}`, service: 'app', onRun: answer });
  await worker.listen(addressOf(100 + index));
  store.put(`servers/${worker.id}`, worker.record);
  workers.push(worker);
}

const { program, listen } = await newEntry({ folder, store });
program.start();
if (!(await waitReady(listen.ready))) finish(record, 2, 'the entry did not become ready');

const answers = [];
/** A caller with one kept channel at a time, and a request each 200 ms. */
async function call(index) {
  const agent = new Agent({ keepAlive: true });
  await sleep(index * 15);
  while (Date.now() - beganAt < LENGTH_MS) {
    const seen = await send({
      address: listen.front,
      method: 'POST',
      path: '/book/1',
      body: 'x'.repeat(600),
      deadlineMs: 8000,
      agent,
    });
    answers.push(seen);
    record.write(`${seen.id} ${seen.status ?? seen.error ?? 'gave up'} ${seen.tookMs} ms`);
    await sleep(160);
  }
  agent.destroy();
}

/** The platform's question each second. */
let unready = 0;
async function ask() {
  while (Date.now() - beganAt < LENGTH_MS) {
    const { status } = await send({
      address: listen.ready,
      path: '/hyssopspread/readiness',
      deadlineMs: 900,
    });
    if (status !== 200) unready += 1;
    await sleep(100);
  }
}
await Promise.all([ask(), ...Array.from({ length: 12 }, (_, index) => call(index))]);
await program.stop();

const late = answers.filter(({ tookMs }) => tookMs >= TIMEOUT_MS);
const stillLate = late.filter(({ tookMs }) => tookMs > TIMEOUT_MS + 500);
record.write(
  `requests ${answers.length}, most ms to an answer ${Math.max(...answers.map(({ tookMs }) => tookMs))}, questions without a 200 ${unready}`,
);
record.write(
  `unanswered at timeout-ms: ${late.length}, of these without an answer half a second later: ${stillLate.length} (more than half break CONFIG)`,
);
const isBroken = stillLate.length > late.length / 2;
workers.forEach((worker) => worker.close());
store.close();
removeFolder(folder);
finish(record, isBroken ? 1 : 0, isBroken ? 'CONFIG is broken' : 'CONFIG holds');
