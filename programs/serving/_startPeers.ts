import type { Milliseconds } from '../../core/clock/mod.ts';
import type { MirrorUpdate } from '../../core/mirror/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { ProcessSettings, SocketAddress } from '../../platform/mod.ts';
import { PeerTask } from '../../tasks/gateway/mod.ts';
import type { Mirrors } from '../../tasks/gateway/mod.ts';
import { dialWebSocket, listenWebSocket, realClock } from '../../transport/mod.ts';
import { splitAddress } from './_splitAddress.ts';

/** Gossip with the other gateways. */
export type Peers = {
  /** Highest number of gateways known so far, with this one; `undefined` before another is known. */
  readonly maxKnownEntries: () => number | undefined;
  /** Timer lags of the other gateways. */
  readonly lagsMs: () => readonly Milliseconds[];
  readonly applySeeds: (seeds: readonly SocketAddress[]) => void;
  readonly close: () => Promise<void>;
};

/** How to start gossip. */
export type StartPeersOptions = {
  readonly settings: ProcessSettings;
  readonly log: Log;
  readonly mirrors: Mirrors;
  /** Timer lag of this process. */
  readonly lagMs: () => Milliseconds;
  /** Called with records of another gateway that are newer than this one's. */
  readonly onUpdate: (prefix: string, update: MirrorUpdate) => void;
};

/** Peers of a gateway on a host without a gossip address. */
export const NO_PEERS: Peers = {
  maxKnownEntries: () => undefined,
  lagsMs: () => [],
  applySeeds: () => undefined,
  close: () => Promise.resolve(),
};

/** Starts gossip with the other gateways; returns `NO_PEERS` on a host without a gossip address. */
export async function startPeers(options: StartPeersOptions): Promise<Peers> {
  const { settings, log, mirrors, lagMs, onUpdate } = options;
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
    onUpdate,
  });
  const listener = await listenWebSocket(splitAddress(peerAddress), peers.accept);
  peers.start();
  return {
    maxKnownEntries: () => peers.maxKnownEntries,
    lagsMs: () => peers.lagsMs,
    applySeeds: (changed) => peers.applySeeds(changed),
    close: () => {
      peers.close();
      return listener.close();
    },
  };
}
