import type { Milliseconds } from '../../core/clock/mod.ts';
import type { MirrorNews } from '../../core/mirror/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { ProcessSettings, SocketAddress } from '../../platform/mod.ts';
import { PeerTask } from '../../tasks/gateway/mod.ts';
import type { Mirrors } from '../../tasks/gateway/mod.ts';
import { dialWebSocket, listenWebSocket, realClock } from '../../transport/mod.ts';
import { splitAddress } from './_splitAddress.ts';

/** Gossip with the other entries. */
export type Peers = {
  /** The most entries that were ever known, this one counted; `undefined` before any other was. */
  readonly mostEntries: () => number | undefined;
  /** How far the others are behind their timers. */
  readonly lagsMs: () => readonly Milliseconds[];
  readonly applySeeds: (seeds: readonly SocketAddress[]) => void;
  readonly close: () => Promise<void>;
};

/** How to start gossip. */
export type StartPeersOptions = {
  readonly settings: ProcessSettings;
  readonly log: Log;
  readonly mirrors: Mirrors;
  /** How far this process is behind its timers. */
  readonly lagMs: () => Milliseconds;
  /** Told of news that another entry has and this one lacks. */
  readonly tell: (prefix: string, news: MirrorNews) => void;
};

/** What an entry knows of others on a host that has no address for gossip. */
export const NO_PEERS: Peers = {
  mostEntries: () => undefined,
  lagsMs: () => [],
  applySeeds: () => undefined,
  close: () => Promise.resolve(),
};

/** Starts gossip with the other entries, on hosts that have an address for it. */
export async function startPeers(options: StartPeersOptions): Promise<Peers> {
  const { settings, log, mirrors, lagMs, tell } = options;
  const { peerAddress, seeds } = settings;
  if (peerAddress === undefined) return NO_PEERS;
  const peers = new PeerTask({
    address: peerAddress,
    seeds,
    mirrors,
    clock: realClock,
    dial: dialWebSocket,
    log,
    lagMs,
    tell,
  });
  const listener = await listenWebSocket(splitAddress(peerAddress), peers.accept);
  peers.start();
  return {
    mostEntries: () => peers.mostEntries,
    lagsMs: () => peers.lagsMs,
    applySeeds: (changed) => peers.applySeeds(changed),
    close: () => {
      peers.close();
      return listener.close();
    },
  };
}
