import { WATCHERS_PER_ZONE } from '../../core/membership/mod.ts';
import type { Deployment } from './deployments.ts';
import type { Slope } from './fitLine.ts';
import type { SlopeName } from './measureSlopes.ts';

/** What one item costs one process, or in all for the configuration service. */
export type CapacityRow = {
  readonly role: string;
  readonly item: string;
  /** How the code implements it. */
  readonly mechanism: string;
  /** Whether it counts towards the control budget. */
  readonly isControl: boolean;
  readonly stateBytes: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  /** Share of one core. */
  readonly processorShare: number;
  /** A change that would keep it within the budget. */
  readonly remedy: string;
};

/** The control budget of a node. */
export const CONTROL_BUDGET = {
  processorShare: 0.016,
  stateBytes: 128 * 1024 * 1024,
  bytesPerSecond: 8 * 1024,
} as const;

/** Calls per second that the configuration service accepts from all readers together. */
export const CONFIGURATION_CALLS_PER_SECOND = 2000;

const SECONDS_PER_DAY = 86_400;

const SECONDS_PER_MICROSECOND = 1e-6;

/** Time between two tokens; the token rate times it is the number of open streams. */
const SECONDS_PER_TOKEN = 0.04;

const HEARTBEATS_PER_SECOND = 4;

const WATCH_TIMEOUT_SECONDS = 20;

const HOST_LIST_READS_PER_SECOND = 1;

const FRAMES_PER_SET_READ = 4;

const READS_PER_CHANGE = 3;

/** Mean time between the reads of a process that does not watch. */
const POLL_INTERVAL_SECONDS = 300;

const MAX_REMEMBERED_KEYS = 100_000;

/** Returns the slope with the given name. */
export type SlopeLookup = (name: SlopeName) => Slope;

/** Creates a lookup of recorded slopes that throws if a slope is missing. */
export function createSlopeLookup(recorded: readonly Slope[]): SlopeLookup {
  const byName = new Map(recorded.map((slope) => [slope.name, slope]));
  return (name) => {
    const slope = byName.get(name);
    if (slope === undefined) {
      throw new Error(`the slope ${name} is not recorded; run "hyssopspread bench capacity"`);
    }
    return slope;
  };
}

/** Evaluates a slope's line at `x`. */
function evaluateLine(slope: Slope, x: number): number {
  return slope.intercept + slope.slope * x;
}

type Cost = Partial<
  Pick<CapacityRow, 'stateBytes' | 'messagesPerSecond' | 'bytesPerSecond' | 'processorShare'>
>;

type RowLabels = Pick<CapacityRow, 'role' | 'item' | 'mechanism' | 'isControl'> & {
  readonly remedy?: string;
};

function createRow(labels: RowLabels, cost: Cost): CapacityRow {
  const none = { stateBytes: 0, messagesPerSecond: 0, bytesPerSecond: 0, processorShare: 0 };
  return { remedy: '', ...labels, ...none, ...cost };
}

function estimateLinkCost(slopes: SlopeLookup, links: number): Cost {
  return {
    stateBytes: (slopes('state.link').slope / 2) * links,
    messagesPerSecond: slopes('messages.idle-link').slope * links,
    bytesPerSecond: slopes('bytes.idle-link').slope * links,
    processorShare:
      (slopes('time.heartbeat').slope / 2) *
      SECONDS_PER_MICROSECOND *
      HEARTBEATS_PER_SECOND *
      links,
  };
}

function createSetRow(role: string, slopes: SlopeLookup, deployment: Deployment): CapacityRow {
  const isEntry = role === 'entry';
  const mechanism = isEntry
    ? 'packed parts looked up in place; differences read from and given to peers'
    : 'pools, backend servers, services and limits only; differences read from an entry';
  const remedy = 'differences pushed without reading the head first';
  const changes = deployment.changesPerDay / SECONDS_PER_DAY;
  const reads = isEntry ? 1 + deployment.backendServers / deployment.entries : 1;
  const time = evaluateLine(slopes('time.change'), isEntry ? deployment.adapters : 0);
  return createRow(
    { role, item: 'published set', mechanism, remedy, isControl: true },
    {
      stateBytes: isEntry
        ? slopes('state.adapter').slope * deployment.adapters
        : slopes('state.backend-server').slope * deployment.backendServers,
      messagesPerSecond: changes * FRAMES_PER_SET_READ * reads,
      bytesPerSecond: changes * slopes('bytes.change').slope * reads,
      processorShare: changes * time * SECONDS_PER_MICROSECOND,
    },
  );
}

function createEntryRows(slopes: SlopeLookup, deployment: Deployment): readonly CapacityRow[] {
  const role = 'entry';
  const requests = deployment.requestsPerSecond / deployment.entries;
  const tokens = deployment.tokensPerSecond / deployment.entries;
  const candidates = deployment.backendServers / deployment.baseModels;
  const listBytes = evaluateLine(
    slopes('bytes.listed-host'),
    deployment.backendServers + deployment.entries,
  );
  return [
    createRow(
      {
        role,
        item: 'links',
        mechanism: 'one link to every listed sidecar, heartbeat every 250 ms each way',
        remedy: 'links to the cell of the entry only, forwarding through a peer entry',
        isControl: true,
      },
      estimateLinkCost(slopes, deployment.backendServers),
    ),
    createSetRow(role, slopes, deployment),
    createRow(
      {
        role,
        item: 'host list',
        mechanism: 'whole list read every second',
        remedy: 'a few readers per availability zone, differences over links',
        isControl: true,
      },
      {
        messagesPerSecond: HOST_LIST_READS_PER_SECOND,
        bytesPerSecond: HOST_LIST_READS_PER_SECOND * listBytes,
      },
    ),
    createRow(
      { role, item: 'open streams', mechanism: 'one record a request', isControl: false },
      { stateBytes: (slopes('state.stream').slope / 2) * tokens * SECONDS_PER_TOKEN },
    ),
    createRow(
      {
        role,
        item: 'submits and routing',
        mechanism: 'servers that hold the version and two by rendezvous, out of the pool',
        remedy: 'routing over the cell',
        isControl: false,
      },
      {
        messagesPerSecond: requests,
        processorShare:
          requests *
          SECONDS_PER_MICROSECOND *
          (slopes('time.submit').slope / 2 +
            slopes('time.resolve').slope +
            slopes('time.candidate').slope * candidates),
      },
    ),
    createRow(
      { role, item: 'chunks', mechanism: 'one frame a token', isControl: false },
      {
        messagesPerSecond: tokens,
        bytesPerSecond: tokens * slopes('bytes.chunk').slope,
        processorShare: (slopes('time.chunk').slope / 2) * SECONDS_PER_MICROSECOND * tokens,
      },
    ),
  ];
}

function createSidecarRows(slopes: SlopeLookup, deployment: Deployment): readonly CapacityRow[] {
  const role = 'sidecar';
  const tokens = deployment.tokensPerSecond / deployment.backendServers;
  return [
    createRow(
      {
        role,
        item: 'links',
        mechanism: 'one link from every entry, heartbeat every 250 ms each way',
        remedy: 'links from the entries of its cell only',
        isControl: true,
      },
      estimateLinkCost(slopes, deployment.entries),
    ),
    createSetRow(role, slopes, deployment),
    createRow(
      {
        role,
        item: 'idempotency keys',
        mechanism: 'at most 100,000 remembered until expiry',
        isControl: true,
      },
      { stateBytes: slopes('state.key').slope * MAX_REMEMBERED_KEYS },
    ),
    createRow(
      { role, item: 'streams and chunks', mechanism: 'one frame a token', isControl: false },
      {
        stateBytes: (slopes('state.stream').slope / 2) * tokens * SECONDS_PER_TOKEN,
        messagesPerSecond: tokens,
        bytesPerSecond: tokens * slopes('bytes.chunk').slope,
        processorShare: (slopes('time.chunk').slope / 2) * SECONDS_PER_MICROSECOND * tokens,
      },
    ),
  ];
}

function createConfigurationRow(slopes: SlopeLookup, deployment: Deployment): CapacityRow {
  const watchers = Math.min(deployment.entries, deployment.availabilityZones * WATCHERS_PER_ZONE);
  const others = deployment.entries + deployment.backendServers - watchers;
  const changes = deployment.changesPerDay / SECONDS_PER_DAY;
  return createRow(
    {
      role: 'configuration service, all readers',
      item: 'watches and reads',
      mechanism: 'two entries per availability zone watch, all others read the head every 300 s',
      remedy: 'fewer watchers',
      isControl: false,
    },
    {
      messagesPerSecond:
        watchers * (1 / WATCH_TIMEOUT_SECONDS + changes * READS_PER_CHANGE) +
        others / POLL_INTERVAL_SECONDS,
      bytesPerSecond: watchers * changes * slopes('bytes.change').slope,
    },
  );
}

/** Estimates every row for one deployment. */
export function estimateCosts(slopes: SlopeLookup, deployment: Deployment): readonly CapacityRow[] {
  return [
    ...createEntryRows(slopes, deployment),
    ...createSidecarRows(slopes, deployment),
    createConfigurationRow(slopes, deployment),
  ];
}

/** Returns which of a row's costs exceed the budget. */
export function findMissedBudgets(row: CapacityRow): readonly string[] {
  if (row.role.startsWith('configuration')) {
    return row.messagesPerSecond > CONFIGURATION_CALLS_PER_SECOND ? ['calls'] : [];
  }
  if (!row.isControl) return [];
  const missed: string[] = [];
  if (row.processorShare > CONTROL_BUDGET.processorShare) missed.push('core');
  if (row.stateBytes > CONTROL_BUDGET.stateBytes) missed.push('memory');
  if (row.bytesPerSecond > CONTROL_BUDGET.bytesPerSecond) missed.push('bytes');
  return missed;
}

/** Returns the sum of the control rows of a role. */
export function sumControlRows(rows: readonly CapacityRow[], role: string): CapacityRow {
  const control = rows.filter((row) => row.role === role && row.isControl);
  const sum = (key: keyof Cost): number => control.reduce((total, row) => total + row[key], 0);
  return createRow(
    { role, item: 'control in all', mechanism: 'sum of the control rows', isControl: true },
    {
      stateBytes: sum('stateBytes'),
      messagesPerSecond: sum('messagesPerSecond'),
      bytesPerSecond: sum('bytesPerSecond'),
      processorShare: sum('processorShare'),
    },
  );
}
