import { WATCHERS_PER_ZONE } from '../../core/membership/mod.ts';
import type { Deployment } from './deployments.ts';
import type { Slope } from './fitLine.ts';
import type { SlopeName } from './measureSlopes.ts';

/** What one matter costs one process, or the whole fleet for the platform's services. */
export type CapacityRow = {
  readonly role: string;
  readonly matter: string;
  /** What carries it in the code of today. */
  readonly mechanism: string;
  /** Whether it counts towards the control budget. */
  readonly isControl: boolean;
  readonly stateBytes: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  /** Share of one core. */
  readonly processorShare: number;
  /** What would carry it within the budget. */
  readonly remedy: string;
};

/** What a node may spend on control. */
export const BUDGET = {
  processorShare: 0.016,
  stateBytes: 128 * 1024 * 1024,
  bytesPerSecond: 8 * 1024,
} as const;

/** Calls a second that the configuration service takes from all readers together. */
export const CONFIGURATION_CALLS_PER_SECOND = 2000;

const SECONDS_PER_DAY = 86_400;

const MICROSECONDS = 1e-6;

const SECONDS_PER_TOKEN = 0.04;

const HEARTBEATS_PER_SECOND = 4;

const WATCH_SECONDS = 20;

const HOST_LIST_READS_PER_SECOND = 1;

const FRAMES_PER_READING = 4;

const READS_PER_CHANGE = 3;

/** Mean time between the readings of a process that does not watch. */
const POLL_SECONDS = 300;

const KEYS_REMEMBERED = 100_000;

/** Looks a slope up by name. */
export type Slopes = (name: SlopeName) => Slope;

/** Returns a lookup of recorded slopes. */
export function slopesOf(recorded: readonly Slope[]): Slopes {
  const byName = new Map(recorded.map((slope) => [slope.name, slope]));
  return (name) => {
    const slope = byName.get(name);
    if (slope === undefined) {
      throw new Error(`the slope ${name} is not recorded; run "hyssopspread bench capacity"`);
    }
    return slope;
  };
}

/** Reads a slope's line at a size. */
function lineAt(slope: Slope, x: number): number {
  return slope.intercept + slope.slope * x;
}

type Cost = Partial<
  Pick<CapacityRow, 'stateBytes' | 'messagesPerSecond' | 'bytesPerSecond' | 'processorShare'>
>;

type Words = Pick<CapacityRow, 'role' | 'matter' | 'mechanism' | 'isControl'> & {
  readonly remedy?: string;
};

function row(words: Words, cost: Cost): CapacityRow {
  const none = { stateBytes: 0, messagesPerSecond: 0, bytesPerSecond: 0, processorShare: 0 };
  return { remedy: '', ...words, ...none, ...cost };
}

function linkCost(slopes: Slopes, links: number): Cost {
  return {
    stateBytes: (slopes('state.link').slope / 2) * links,
    messagesPerSecond: slopes('messages.idle-link').slope * links,
    bytesPerSecond: slopes('bytes.idle-link').slope * links,
    processorShare:
      (slopes('time.heartbeat').slope / 2) * MICROSECONDS * HEARTBEATS_PER_SECOND * links,
  };
}

function setRow(role: string, slopes: Slopes, size: Deployment): CapacityRow {
  const isEntry = role === 'entry';
  const mechanism = isEntry
    ? 'packed parts looked up in place; differences read from and given to peers'
    : 'pools, backend servers, services and limits only; differences read from an entry';
  const remedy = 'differences pushed without reading the head first';
  const changes = size.changesPerDay / SECONDS_PER_DAY;
  const readings = isEntry ? 1 + size.workers / size.entries : 1;
  const time = lineAt(slopes('time.change'), isEntry ? size.adapters : 0);
  return row(
    { role, matter: 'published set', mechanism, remedy, isControl: true },
    {
      stateBytes: isEntry
        ? slopes('state.adapter').slope * size.adapters
        : slopes('state.backend-server').slope * size.workers,
      messagesPerSecond: changes * FRAMES_PER_READING * readings,
      bytesPerSecond: changes * slopes('bytes.change').slope * readings,
      processorShare: changes * time * MICROSECONDS,
    },
  );
}

function entryRows(slopes: Slopes, size: Deployment): readonly CapacityRow[] {
  const role = 'entry';
  const requests = size.requestsPerSecond / size.entries;
  const tokens = size.tokensPerSecond / size.entries;
  const candidates = size.workers / size.baseModels;
  const listBytes = lineAt(slopes('bytes.listed-host'), size.workers + size.entries);
  return [
    row(
      {
        role,
        matter: 'links',
        mechanism: 'one link to every listed sidecar, heartbeat every 250 ms each way',
        remedy: 'links to the cell of the entry only, forwarding through a peer entry',
        isControl: true,
      },
      linkCost(slopes, size.workers),
    ),
    setRow(role, slopes, size),
    row(
      {
        role,
        matter: 'host list',
        mechanism: 'whole list read every second',
        remedy: 'a few readers per availability zone, differences over links',
        isControl: true,
      },
      {
        messagesPerSecond: HOST_LIST_READS_PER_SECOND,
        bytesPerSecond: HOST_LIST_READS_PER_SECOND * listBytes,
      },
    ),
    row(
      { role, matter: 'open streams', mechanism: 'one record a request', isControl: false },
      { stateBytes: (slopes('state.stream').slope / 2) * tokens * SECONDS_PER_TOKEN },
    ),
    row(
      {
        role,
        matter: 'submits and routing',
        mechanism: 'servers that hold the version and two by rendezvous, out of the pool',
        remedy: 'routing over the cell',
        isControl: false,
      },
      {
        messagesPerSecond: requests,
        processorShare:
          requests *
          MICROSECONDS *
          (slopes('time.submit').slope / 2 +
            slopes('time.resolve').slope +
            slopes('time.candidate').slope * candidates),
      },
    ),
    row(
      { role, matter: 'chunks', mechanism: 'one frame a token', isControl: false },
      {
        messagesPerSecond: tokens,
        bytesPerSecond: tokens * slopes('bytes.chunk').slope,
        processorShare: (slopes('time.chunk').slope / 2) * MICROSECONDS * tokens,
      },
    ),
  ];
}

function sidecarRows(slopes: Slopes, size: Deployment): readonly CapacityRow[] {
  const role = 'sidecar';
  const tokens = size.tokensPerSecond / size.workers;
  return [
    row(
      {
        role,
        matter: 'links',
        mechanism: 'one link from every entry, heartbeat every 250 ms each way',
        remedy: 'links from the entries of its cell only',
        isControl: true,
      },
      linkCost(slopes, size.entries),
    ),
    setRow(role, slopes, size),
    row(
      {
        role,
        matter: 'idempotency keys',
        mechanism: 'at most 100,000 remembered until expiry',
        isControl: true,
      },
      { stateBytes: slopes('state.key').slope * KEYS_REMEMBERED },
    ),
    row(
      { role, matter: 'streams and chunks', mechanism: 'one frame a token', isControl: false },
      {
        stateBytes: (slopes('state.stream').slope / 2) * tokens * SECONDS_PER_TOKEN,
        messagesPerSecond: tokens,
        bytesPerSecond: tokens * slopes('bytes.chunk').slope,
        processorShare: (slopes('time.chunk').slope / 2) * MICROSECONDS * tokens,
      },
    ),
  ];
}

function configurationRow(slopes: Slopes, size: Deployment): CapacityRow {
  const watchers = Math.min(size.entries, size.availabilityZones * WATCHERS_PER_ZONE);
  const others = size.entries + size.workers - watchers;
  const changes = size.changesPerDay / SECONDS_PER_DAY;
  return row(
    {
      role: 'configuration service, all readers',
      matter: 'watches and reads',
      mechanism: 'two entries per availability zone watch, all others read the head every 300 s',
      remedy: 'fewer watchers',
      isControl: false,
    },
    {
      messagesPerSecond:
        watchers * (1 / WATCH_SECONDS + changes * READS_PER_CHANGE) + others / POLL_SECONDS,
      bytesPerSecond: watchers * changes * slopes('bytes.change').slope,
    },
  );
}

/** Works out every row for one deployment. */
export function workOut(slopes: Slopes, size: Deployment): readonly CapacityRow[] {
  return [...entryRows(slopes, size), ...sidecarRows(slopes, size), configurationRow(slopes, size)];
}

/** Says which of a row's costs miss the budget. */
export function misses(each: CapacityRow): readonly string[] {
  if (each.role.startsWith('configuration')) {
    return each.messagesPerSecond > CONFIGURATION_CALLS_PER_SECOND ? ['calls'] : [];
  }
  if (!each.isControl) return [];
  const missed: string[] = [];
  if (each.processorShare > BUDGET.processorShare) missed.push('core');
  if (each.stateBytes > BUDGET.stateBytes) missed.push('memory');
  if (each.bytesPerSecond > BUDGET.bytesPerSecond) missed.push('bytes');
  return missed;
}

/** Adds up the control rows of each role. */
export function totalControl(rows: readonly CapacityRow[], role: string): CapacityRow {
  const control = rows.filter((each) => each.role === role && each.isControl);
  const sum = (key: keyof Cost): number => control.reduce((total, each) => total + each[key], 0);
  return row(
    { role, matter: 'control in all', mechanism: 'sum of the control rows', isControl: true },
    {
      stateBytes: sum('stateBytes'),
      messagesPerSecond: sum('messagesPerSecond'),
      bytesPerSecond: sum('bytesPerSecond'),
      processorShare: sum('processorShare'),
    },
  );
}
