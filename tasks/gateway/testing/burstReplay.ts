import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createVirtualClock } from '../../../core/clock/mod.ts';
import type { Milliseconds, VirtualClock } from '../../../core/clock/mod.ts';
import { Heap } from '../../../core/collections/mod.ts';
import { ServerView } from '../../../core/dispatch/mod.ts';
import type { ServerChoice } from '../../../core/dispatch/mod.ts';
import type { BackendServer, Deployment, Route, Service } from '../../../core/serving/mod.ts';
import { Metrics } from '../../../metrics/mod.ts';
import { AdmissionQueue } from '../_admissionQueue.ts';
import type { OpenRequest } from '../_openRequest.ts';

/** What rises during a burst. */
export type BurstKind = 'tenant' | 'class' | 'zone';

/** Options of `replayBurst`. */
export type BurstOptions = {
  readonly kind: BurstKind;
  /** Traffic of the tenant, class or zone during the burst, relative to before. */
  readonly factor: number;
  readonly seed: number;
  /** Share of the callers that ignore `Retry-After` and come back after 10 ms. @default 0 */
  readonly impatientShare?: number;
};

/** One caller with its attempts. */
export type ReplayedCaller = {
  readonly id: string;
  readonly tenant: string;
  readonly priority: number;
  readonly zone: number;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** Time in a slot. */
  readonly serviceMs: Milliseconds;
  readonly isImpatient: boolean;
  refusals: number;
  attempts: number;
  /** Whether it was served by its deadline, and within the objective of its last attempt. */
  isServed: boolean;
};

const ENTRIES = 3;

const SERVERS = 8;

const SLOTS = 8;

/** Run time of a request in the mean. */
const MEAN_SERVICE_MS: Milliseconds = 300;

/** Slot time that a token of output takes. */
const TOKEN_MS = 3;

/** Load before and after the burst. */
const BASE_LOAD = 0.7;

const BURST: readonly [Milliseconds, Milliseconds] = [3000, 8000];

const END_AT: Milliseconds = 12_000;

const REPORT_INTERVAL_MS: Milliseconds = 100;

/** Longest `Retry-After` that callers obey, as a share of their time left. */
const OBEYED_SHARE = 1 / 3;

const CLASSES = [
  { share: 0.6, objectiveMs: 601, timeoutMs: 12_026 },
  { share: 0.15, objectiveMs: 802, timeoutMs: 3008 },
  { share: 0.25, objectiveMs: 1001, timeoutMs: 20_026 },
] as const;

const TENANTS = ['t0', 't1', 't2', 't3'] as const;

const SERVICE: Service = { name: 's', maxConnections: 1000 };

const ROUTES: readonly Route[] = CLASSES.map(({ objectiveMs, timeoutMs }, priority) => ({
  name: `c${priority}`,
  authority: 'a',
  pathPrefix: '/',
  repeatability: 'repeatable',
  isStream: false,
  timeoutMs,
  objectiveMs,
  priority,
  services: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
}));

const DEPLOYMENT: Deployment = {
  version: 1,
  routes: ROUTES,
  services: new Map([['s', SERVICE]]),
  callerLimits: {
    maxHeaderBytes: 8192,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 5000,
    idleTimeoutMs: 5000,
  },
  tenantsByKey: new Map(TENANTS.map((name) => [name, { name, defaultTokens: 100 }])),
};

/** Whether a time lies within the burst. */
export function isInBurst(at: Milliseconds): boolean {
  return at >= BURST[0] && at < BURST[1];
}

/** Returns the callers of a replay in the order of their arrival. */
function callersOf(options: BurstOptions): readonly ReplayedCaller[] {
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  const perMs = (BASE_LOAD * SERVERS * SLOTS) / MEAN_SERVICE_MS;
  const callers: ReplayedCaller[] = [];
  const cells = CLASSES.flatMap(({ share }, priority) =>
    TENANTS.flatMap((tenant) =>
      Array.from({ length: ENTRIES }, (_, zone) => ({
        priority,
        tenant,
        zone,
        perMs: (perMs * share) / TENANTS.length / ENTRIES,
      })),
    ),
  );
  cells.forEach(({ priority, tenant, zone, perMs: base }) => {
    const isRaised = { tenant: tenant === 't0', class: priority === 0, zone: zone === 0 };
    const raised = isRaised[options.kind] ? options.factor : 1;
    let at = 0;
    for (;;) {
      at += -Math.log(1 - random()) / (base * options.factor);
      if (at >= END_AT) break;
      const factor = isInBurst(at) ? raised : 1;
      const isKept = random() < factor / options.factor;
      // Sizes are exponential with a longest of five times the mean.
      const serviceMs = Math.min(
        5 * MEAN_SERVICE_MS,
        Math.max(20, -Math.log(1 - random()) * MEAN_SERVICE_MS),
      );
      const isImpatient = random() < (options.impatientShare ?? 0);
      if (isKept) {
        callers.push({
          id: `${priority}-${tenant}-${zone}-${callers.length}`,
          tenant,
          priority,
          zone,
          arrivedAt: at,
          deadlineAt: at + CLASSES[priority]!.timeoutMs,
          serviceMs,
          isImpatient,
          refusals: 0,
          attempts: 0,
          isServed: false,
        });
      }
    }
  });
  return callers.sort((a, b) => a.arrivedAt - b.arrivedAt);
}

/** A server that runs a request in each slot, and queues what is more. */
type SimulatedServer = { running: number; readonly queue: (() => void)[] };

type SimulatedEntry = { readonly views: readonly ServerView[]; readonly queue: AdmissionQueue };

function recordOf(id: string): BackendServer {
  return {
    id,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    softwareVersion: 'v1',
    slots: SLOTS,
    state: 'ready',
    holdings: [],
    bornAt: 0,
  };
}

/** Replays a burst through the admission queues of three entries that share servers. */
export function replayBurst(options: BurstOptions): readonly ReplayedCaller[] {
  const clock: VirtualClock = createVirtualClock();
  const callers = callersOf(options);
  const byRequest = new Map<OpenRequest, ReplayedCaller>();
  const servers: SimulatedServer[] = Array.from({ length: SERVERS }, () => ({
    running: 0,
    queue: [],
  }));

  const entries: SimulatedEntry[] = [];

  function carryOut(entry: SimulatedEntry, request: OpenRequest, choice: ServerChoice): void {
    if (choice.kind === 'wait') {
      entry.queue.hold(request, choice.reason);
      return;
    }
    if (choice.kind !== 'send') throw new Error(`unexpected choice ${choice.kind}`);
    const caller = byRequest.get(request)!;
    const { view } = choice;
    const server = servers[entry.views.indexOf(view)]!;
    request.view = view;
    request.sentAt = clock.now();
    view.noteSent(undefined);
    entry.queue.noteSent(request, view);
    const run = (): void => {
      const isOnTime = clock.now() <= request.acceptedAt + request.route.objectiveMs;
      server.running += 1;
      clock.schedule(caller.serviceMs, () => {
        server.running -= 1;
        caller.isServed = isOnTime && clock.now() <= caller.deadlineAt;
        request.isFinished = true;
        entry.queue.noteEnded(request, 'answered');
        view.noteEnded(undefined);
        server.queue.shift()?.();
      });
    };
    if (server.running < SLOTS) run();
    else server.queue.push(run);
  }

  const inputs = (): Parameters<AdmissionQueue['choose']>[1] => ({
    minVersion: 0,
    batchWidth: SLOTS,
    maxLoadWaitMs: 500,
    now: clock.now(),
    availabilityZone: 'z',
  });

  function attempt(caller: ReplayedCaller): void {
    const now = clock.now();
    caller.attempts += 1;
    const request = {
      head: {
        requestId: caller.id,
        expectedOutputTokens: Math.round(caller.serviceMs / TOKEN_MS),
      },
      caller: { body: Buffer.alloc(0), response: { hasBegun: () => false } },
      route: ROUTES[caller.priority],
      service: SERVICE,
      acceptedAt: now,
      deadlineAt: caller.deadlineAt,
      identity: { kind: 'tenant', tenant: { name: caller.tenant, defaultTokens: 100 } },
      mayHaveRunCount: 0,
      sentAt: 0,
      isFinished: false,
    } as unknown as OpenRequest;
    byRequest.set(request, caller);
    const entry = entries[caller.zone]!;
    carryOut(entry, request, entry.queue.choose(request, inputs(), entry.views));
  }

  function refuse(queue: AdmissionQueue, request: OpenRequest, retryAfterMs: Milliseconds): void {
    const caller = byRequest.get(request)!;
    request.isFinished = true;
    queue.noteEnded(request, 'refused');
    caller.refusals += 1;
    const leftMs = caller.deadlineAt - clock.now();
    const obeyedMs = caller.isImpatient ? 10 : Math.min(retryAfterMs, leftMs * OBEYED_SHARE);
    if (leftMs > caller.serviceMs) clock.schedule(obeyedMs + 1, () => attempt(caller));
  }

  Array.from({ length: ENTRIES }).forEach((_, index) => {
    const views = servers.map((_server, id) => new ServerView(recordOf(`i-${id}`)));
    const queue: AdmissionQueue = new AdmissionQueue({
      clock,
      log: () => {},
      metrics: new Metrics(),
      deployment: () => DEPLOYMENT,
      viewsOf: () => views,
      findStart: (request) => {
        const choice = queue.choose(request, inputs(), views);
        return choice.kind === 'wait'
          ? undefined
          : () => carryOut(entries[index]!, request, choice);
      },
      refuse: (request, _reason, retryAfterMs) => refuse(queue, request, retryAfterMs),
    });
    entries.push({ views, queue });
  });

  function report(): void {
    entries.forEach(({ views, queue }) => {
      views.forEach((view, id) => {
        const { running, queue: queued } = servers[id]!;
        view.applyKeeperReport({
          holdings: new Map(),
          running,
          queued: queued.length,
          freeablePlaces: 0,
          awaited: 0,
          receivedAt: clock.now(),
        });
      });
      queue.noteCapacity('s');
    });
    if (clock.now() < END_AT + 20_000) clock.schedule(REPORT_INTERVAL_MS, report);
  }

  report();
  callers.forEach((caller) => clock.schedule(caller.arrivedAt, () => attempt(caller)));
  while (clock.runNext());
  return callers;
}

/**
 * Returns the most slot time that any schedule completes by the deadlines: earliest deadline first without
 * sizes, on capacity that is divisible at will and known in advance.
 */
export function clairvoyantWork(callers: readonly ReplayedCaller[]): Milliseconds {
  const byDeadline = new Heap<{ readonly latest: Milliseconds; leftMs: Milliseconds }>(
    (a, b) => a.latest < b.latest,
  );
  const arriving = [...callers].reverse();
  let doneMs = 0;
  for (let now = 0; now < END_AT + 20_000; now += 1) {
    while (arriving.length > 0 && arriving.at(-1)!.arrivedAt <= now) {
      const { deadlineAt, serviceMs } = arriving.pop()!;
      byDeadline.push({ latest: deadlineAt, leftMs: serviceMs });
    }
    let capacityMs = SERVERS * SLOTS;
    while (capacityMs > 0) {
      const first = byDeadline.peek();
      if (first === undefined) break;
      const takenMs = first.latest < now ? 0 : Math.min(capacityMs, first.leftMs);
      first.leftMs -= takenMs;
      capacityMs -= takenMs;
      doneMs += takenMs;
      if (first.leftMs <= 0 || first.latest < now) byDeadline.pop();
    }
  }
  return doneMs;
}
