import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Reach } from '../../core/serverLimits/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { ProcessSettings, SocketAddress } from '../../platform/mod.ts';
import { PeerTask } from '../../tasks/gateway/mod.ts';
import type {
  Mirrors,
  PeerServices,
  PeerTaskOptions,
  SharedStates,
} from '../../tasks/gateway/mod.ts';
import { dialWebSocket, listenWebSocket, realClock } from '../../transport/mod.ts';
import { splitAddress } from './_splitAddress.ts';

/** Gossip with the other entries. */
export type Peers = {
  /** Largest number of entries ever known, with this one; `undefined` before any other was seen. */
  readonly maxKnownEntries: () => number | undefined;
  /** Returns the addresses of the other live entries, or those of which there was a sign within a time. */
  readonly names: (maxAgeMs?: Milliseconds) => readonly string[];
  /** Returns the capacity of an entry, in hundredths of a processor core; 0 if it is unknown. */
  readonly capacityOf: (name: string) => number;
  /** How many of the known entries are in touch with this one, itself included. */
  readonly reach: () => Reach;
  /** Sends changes of the shared state to the other entries. */
  readonly pushChanges: () => void;
  /** Recently reported event-loop lags of the other entries. */
  readonly lagsMs: () => readonly Milliseconds[];
  readonly applySeeds: (seeds: readonly SocketAddress[]) => void;
  readonly close: () => Promise<void>;
};

/** Options of `startPeers`. */
export type StartPeersOptions = {
  readonly settings: ProcessSettings;
  readonly log: Log;
  readonly mirrors: Mirrors;
  readonly shared: SharedStates;
  readonly services: PeerServices;
  /** Returns the mean event-loop lag of this process. */
  readonly lagMs: () => Milliseconds;
} & Pick<PeerTaskOptions, 'metrics' | 'readers' | 'removalGraceUntil' | 'onUpdate'>;

/** Peers of an entry on a host without a gossip address. */
export const NO_PEERS: Peers = {
  maxKnownEntries: () => undefined,
  names: () => [],
  capacityOf: () => 0,
  reach: () => ({ known: 1, reachable: 1 }),
  pushChanges: () => undefined,
  lagsMs: () => [],
  applySeeds: () => undefined,
  close: () => Promise.resolve(),
};

/** Starts gossip with the other entries; returns `NO_PEERS` on a host without a gossip address. */
export async function startPeers(options: StartPeersOptions): Promise<Peers> {
  const { settings, ...rest } = options;
  const { peerAddress, seeds } = settings;
  if (peerAddress === undefined) return NO_PEERS;
  const peers = new PeerTask({
    ...rest,
    address: peerAddress,
    cpuShare: settings.cpuShare,
    seeds,
    clock: realClock,
    dial: dialWebSocket,
  });
  const listener = await listenWebSocket(splitAddress(peerAddress), peers.accept);
  peers.start();
  options.readers?.start();
  return {
    maxKnownEntries: () => peers.maxKnownEntries,
    names: (maxAgeMs) =>
      maxAgeMs === undefined ? peers.members : peers.membersSeenWithin(maxAgeMs),
    capacityOf: (name) => peers.capacityOf(name),
    reach: () => peers.reach,
    pushChanges: () => peers.pushChanges(),
    lagsMs: () => peers.lagsMs,
    applySeeds: (changed) => peers.applySeeds(changed),
    close: () => {
      peers.close();
      options.readers?.close();
      return listener.close();
    },
  };
}
