import { rendezvousOrder } from '../placement/mod.ts';
import type { StreamKey } from './streamOrigin.ts';

/** A process that runs beside a backend server, and outlives the entries. */
export type ServerKeeper = {
  /** Unique address of the process. */
  readonly address: string;
  /** Service of the server. */
  readonly service: string;
  /** Software version of the server. */
  readonly version: string;
};

/** Processes that may keep the origins of streams. */
export type HolderCandidates = {
  /** Names of the live entries. */
  readonly entries: readonly string[];
  readonly keepers: readonly ServerKeeper[];
};

/** Options of `chooseHolders`. */
export type ChooseHoldersOptions = {
  /** Processes that keep an origin, at most. @default 4 */
  readonly count?: number;
  /** Processes that keep origins at all; each process links to all of them. @default 32 */
  readonly poolSize?: number;
};

/** Keepers that hold the origin of a stream. */
const KEEPER_HOLDERS = 3;

/** Keepers of each software version that are asked for an origin; some may have come or gone meanwhile. */
const ASKED_KEEPERS = 12;

/** Entries beside the keepers that hold an origin, in case all keepers end. */
const ENTRIES_BESIDE_KEEPERS: ChooseHoldersOptions = { count: 1, poolSize: 64 };

/** Key of the choice of the processes that hold origins at all, if there are many. */
const POOL_KEY = 'stream-origins';

function orderFor(key: StreamKey, processes: readonly string[]): readonly string[] {
  return rendezvousOrder(`${key.service} ${key.requestId}`, processes);
}

function addressesOf(keepers: readonly ServerKeeper[]): readonly string[] {
  return [...new Set(keepers.map(({ address }) => address))];
}

/**
 * Returns the entries that keep the origin of a stream, the same at each process that knows the same others.
 *
 * @param processes Names of the live entries.
 */
export function chooseHolders(
  key: StreamKey,
  processes: readonly string[],
  { count = 4, poolSize = 32 }: ChooseHoldersOptions = {},
): readonly string[] {
  const pool =
    processes.length <= poolSize
      ? processes
      : rendezvousOrder(POOL_KEY, processes).slice(0, poolSize);
  return pool.length <= count ? pool : orderFor(key, pool).slice(0, count);
}

/**
 * Returns the processes that keep where a stream began: keepers, since they outlive the entries, and first
 * those beside servers of the stream's version, without which nothing could continue it. Entries keep it
 * alone where there are too few keepers.
 *
 * @param version Software version at which the stream begins.
 */
export function chooseOriginHolders(
  key: StreamKey,
  version: string,
  { entries, keepers }: HolderCandidates,
): readonly string[] {
  const isPeer = (keeper: ServerKeeper): boolean =>
    keeper.service === key.service && keeper.version === version;
  const peers = orderFor(key, addressesOf(keepers.filter(isPeer)));
  const others = orderFor(key, addressesOf(keepers.filter((keeper) => !isPeer(keeper))));
  const chosen = [...new Set([...peers, ...others])].slice(0, KEEPER_HOLDERS);
  const hasEnough = chosen.length === KEEPER_HOLDERS;
  return [...chosen, ...chooseHolders(key, entries, hasEnough ? ENTRIES_BESIDE_KEEPERS : {})];
}

/** Returns the processes to ask where a stream began, whatever its version and the keepers known then. */
export function chooseAsked(
  key: StreamKey,
  { entries, keepers }: HolderCandidates,
): readonly string[] {
  const groups = new Map<string, ServerKeeper[]>();
  keepers.forEach((keeper) => {
    const name = keeper.service === key.service ? keeper.version : '';
    groups.set(name, [...(groups.get(name) ?? []), keeper]);
  });
  const asked = [...groups.values(), keepers].flatMap((group) =>
    orderFor(key, addressesOf(group)).slice(0, ASKED_KEEPERS),
  );
  const askedEntries = [
    ...chooseHolders(key, entries),
    ...chooseHolders(key, entries, ENTRIES_BESIDE_KEEPERS),
  ];
  return [...new Set([...asked, ...askedEntries])];
}
