// Workers that end the lines of their event streams with CR LF, as the format allows.
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
} from '../lab/lab.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const LINE_END = hasTrouble ? '\r\n' : '\n';
const EVENTS = 12;

const record = new Record(import.meta.url);
const folder = temporaryFolder();
const store = new Store();
await store.listen();
const route = {
  host: 'house.example',
  kind: 'streaming',
  service: 'llm',
  priority: 0,
  'timeout-ms': 12_000,
  'target-latency-ms': 800,
  'gap-aim-ms': 300,
};
store.put(
  'op/config',
  configuration({
    routes: [
      { ...route, name: 'resumed', 'path-prefix': '/resumed/', resumable: true, 'max-attempts': 2 },
      { ...route, name: 'plain', 'path-prefix': '/plain/', 'max-attempts': 1 },
    ],
    services: [{ name: 'llm', 'health-path': '/health', 'max-connections': 360 }],
  }),
);

/** Streams all events, from the first one or from the one after `Last-Event-Id`. */
function stream(request, response, id, worker) {
  response.writeHead(200, {
    'x-request-id': id,
    'x-response-stamp': `${worker.id}.${id}`,
    'content-type': 'text/event-stream',
  });
  let event = Number(request.headers['last-event-id'] ?? 0);
  const timer = setInterval(() => {
    event += 1;
    response.write([`id: ${event}`, 'data: words', '', ''].join(LINE_END));
    if (event < EVENTS) return;
    clearInterval(timer);
    response.end();
    record.write(`worker ${worker.id} has sent all ${EVENTS} events of ${id}`);
  }, 30);
}

const workers = [];
for (let index = 0; index < 4; index += 1) {
  const worker = new Worker({ id: `i-${index}`, service: 'llm', slots: 64, onRun: stream });
  await worker.listen(addressOf(100 + index));
  store.put(`servers/${worker.id}`, worker.record);
  workers.push(worker);
}

const { program, listen } = await newEntry({ folder, store });
program.start();
if (!(await waitReady(listen.ready))) finish(record, 2, 'the entry did not become ready');

const answers = [];
/** A caller that keeps its channel with streams of the other route between. */
async function call() {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (const path of ['/plain/1', '/resumed/1', '/plain/1', '/resumed/1']) {
    const answer = await send({ address: listen.front, path, deadlineMs: 12_000, agent });
    const events = (answer.body ?? '').match(/^id: /gm)?.length ?? 0;
    answers.push({ ...answer, events });
    record.write(
      `${answer.id} ${path} kept=${answer.isKept} ${answer.status ?? answer.error ?? 'gave up'} ${events} events, ${answer.tookMs} ms`,
    );
    await sleep(100);
  }
  agent.destroy();
}
await Promise.all(Array.from({ length: 6 }, () => call()));
await sleep(200);
await program.stop();

const runsOf = (id) => workers.flatMap(({ runs }) => runs).filter((run) => run.id === id).length;
const lost = answers.filter(
  ({ id, isKept, status, error }) => isKept && status === undefined && error && runsOf(id) > 0,
);
const resumed = answers.filter(({ path }) => path.startsWith('/resumed/'));
record.write(
  `streams of the resumable route ${resumed.length}, complete ${resumed.filter(({ events }) => events === EVENTS).length}, runs of them ${resumed.reduce((sum, { id }) => sum + runsOf(id), 0)}`,
);
record.write(
  `requests from kept channels that a sound worker ran and whose channel was closed without an answer: ${lost.length} (more than 3 break LOST)`,
);
const isBroken = lost.length > 3;
workers.forEach((worker) => worker.close());
store.close();
removeFolder(folder);
finish(record, isBroken ? 1 : 0, isBroken ? 'LOST is broken' : 'LOST holds');
