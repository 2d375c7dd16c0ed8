import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { Milliseconds, VirtualClock } from '../../core/clock/mod.ts';
import type { Identity } from '../../core/link/mod.ts';
import { isWatcher } from '../../core/membership/mod.ts';
import type { ListedHost } from '../../core/membership/mod.ts';
import { checkSet, packSet, parseSet, SIDECAR_SCOPE } from '../../core/set/mod.ts';
import type { Log, LogEventName, LogFields } from '../../log/mod.ts';
import { SimulatedConfiguration } from '../../standins/mod.ts';
import { EntryTask } from '../../tasks/entry/mod.ts';
import { HostListTask } from '../../tasks/hostListTask.ts';
import { SetTask } from '../../tasks/set/mod.ts';
import type { SetTaskOptions } from '../../tasks/set/mod.ts';
import { SidecarTask } from '../../tasks/sidecar/mod.ts';
import type { Backend } from '../../tasks/sidecar/mod.ts';
import { ProcessGate } from './processGate.ts';
import { VirtualNetwork } from './virtualNetwork.ts';
import type { Endpoint, VirtualNetworkOptions } from './virtualNetwork.ts';
import { gateBackend, gateConfiguration } from './_gatedPorts.ts';

/** How to build a `VirtualWorld`. */
export type VirtualWorldOptions = {
  /** Seed of the random numbers. @default 1 */
  readonly seed?: number;
  /** One-way network delay between two hosts. @default 0.5 */
  readonly latencyMs?: Milliseconds;
  /** Decides what happens to each frame. @default every frame is delivered */
  readonly chooseFrameAction?: VirtualNetworkOptions['chooseFrameAction'];
  /** Called with every log event of every process. */
  readonly onLog?: (
    time: Milliseconds,
    host: string,
    event: LogEventName,
    fields: LogFields,
  ) => void;
};

/** One process of the product in a `VirtualWorld`. */
export type WorldProcess<T> = Endpoint & {
  readonly task: T;
  readonly identity: Identity;
  /** Kills the process and closes its connections. */
  readonly kill: () => void;
};

const LINK_KEYS = ['virtual-world-link-key-0123456789'] as const;

const NONCE_LIMIT = 0x7fff_ffff;

/** Waits until all pending promise callbacks and mailboxes have run. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Discrete-event simulation of the product's processes on a virtual clock and network, with models
 * of the backend servers and the configuration service.
 *
 * The order of events is deterministic for a given seed.
 */
export class VirtualWorld {
  readonly clock: VirtualClock = createVirtualClock();

  readonly network: VirtualNetwork;

  readonly configuration: SimulatedConfiguration;

  /** The platform's current list of hosts. */
  hosts: readonly ListedHost[] = [];

  readonly #options: VirtualWorldOptions;

  readonly #random;

  constructor(options: VirtualWorldOptions = {}) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed ?? 1);
    this.network = new VirtualNetwork({
      clock: this.clock,
      latency: () => options.latencyMs ?? 0.5,
      ...(options.chooseFrameAction === undefined
        ? {}
        : { chooseFrameAction: options.chooseFrameAction }),
    });
    this.configuration = new SimulatedConfiguration(this.clock);
  }

  /** Returns a random integer from 0 to `limit - 1`. */
  randomBelow(limit: number): number {
    return uniformInt(this.#random, 0, limit - 1);
  }

  /** Returns a random nonce. */
  nonce(): string {
    return `${this.randomBelow(NONCE_LIMIT).toString(36)}${this.randomBelow(NONCE_LIMIT).toString(36)}`;
  }

  /**
   * Checks the text of a set and stores its values in the configuration service.
   *
   * @throws {Error} When the set is invalid.
   */
  publish(generation: number, text: string): void {
    const parsed = parseSet([{ file: 'set.ini', text }]);
    const check = checkSet(parsed.declarations);
    const problems = [...parsed.problems, ...check.problems];
    if (problems.length > 0) throw new Error(problems.map(({ message }) => message).join('; '));
    packSet(check.objects, generation).values.forEach(({ name, text: value }) =>
      this.configuration.put(name, value),
    );
  }

  /** Starts an entry process. */
  startEntry(host: string): WorldProcess<EntryTask> {
    const endpoint = this.#createEndpoint(host);
    const identity: Identity = { role: 'entry', host, incarnation: this.nonce() };
    const { clock } = endpoint.gate;
    const log = this.#createLog(host);
    const task = new EntryTask({
      clock,
      identity,
      availabilityZone: 'az-1',
      linkKeys: LINK_KEYS,
      nonce: () => this.nonce(),
      dial: this.network.dialFrom(endpoint),
      log,
    });
    const setTask = new SetTask({
      ...this.#createSetOptions(endpoint, log, task),
      isWatcher: () => isWatcher(task.members, { host, availabilityZone: 'az-1' }),
    });
    task.subscribeSetEvents((news) => setTask.handleEvent(news));
    setTask.start();
    new HostListTask({
      clock,
      hostList: { read: () => endpoint.gate.gatePromise(Promise.resolve(this.hosts)) },
      log,
      onHosts: (hosts) => task.applyHosts(hosts),
    }).start();
    return this.#createProcess(endpoint, identity, task);
  }

  /**
   * Starts a sidecar process.
   *
   * @param host The host that it runs on.
   * @param backend The backend server that it serves.
   * @param address The address where it listens. @default the host's name
   */
  startSidecar(host: string, backend: Backend, address = host): WorldProcess<SidecarTask> {
    const endpoint = this.#createEndpoint(host);
    const identity: Identity = { role: 'sidecar', host, incarnation: this.nonce() };
    const { clock } = endpoint.gate;
    const log = this.#createLog(host);
    const task = new SidecarTask({
      clock,
      identity,
      backendServer: host,
      backend: gateBackend(backend, endpoint.gate),
      linkKeys: LINK_KEYS,
      nonce: () => this.nonce(),
      log,
    });
    const setTask = new SetTask({
      ...this.#createSetOptions(endpoint, log, task),
      isWatcher: () => false,
      forwardsReads: true,
      scope: SIDECAR_SCOPE,
    });
    task.subscribeSetEvents((news) => setTask.handleEvent(news));
    this.network.listen(address, endpoint, (peer) => task.accept(peer));
    setTask.start();
    task.start();
    return this.#createProcess(endpoint, identity, task);
  }

  /** Replaces the list of hosts by live sidecars on these hosts. */
  listSidecars(hosts: readonly string[]): void {
    this.hosts = hosts.map((host) => ({
      host,
      role: 'sidecar',
      address: host,
      availabilityZone: 'az-1',
      state: 'live',
    }));
  }

  /** Advances the clock by a time and runs all that becomes due. */
  async advance(time: Milliseconds): Promise<void> {
    const target = this.clock.now() + time;
    await flushPromises();
    for (;;) {
      const due = this.clock.nextDue();
      if (due === undefined || due > target) break;
      this.clock.runNext();
      await flushPromises();
    }
    this.clock.advanceTo(target);
  }

  /**
   * Advances the clock until a condition holds.
   *
   * @returns Whether it held within `limit`.
   */
  async advanceUntil(condition: () => boolean, limit: Milliseconds): Promise<boolean> {
    const target = this.clock.now() + limit;
    await flushPromises();
    while (!condition()) {
      const due = this.clock.nextDue();
      if (due === undefined || due > target) return false;
      this.clock.runNext();
      await flushPromises();
    }
    return true;
  }

  #createEndpoint(host: string): Endpoint {
    return { host, gate: new ProcessGate(this.clock) };
  }

  #createLog(host: string): Log {
    return (event, fields = {}) => this.#options.onLog?.(this.clock.now(), host, event, fields);
  }

  #createSetOptions({ gate }: Endpoint, log: Log, task: EntryTask | SidecarTask): SetTaskOptions {
    return {
      clock: gate.clock,
      configuration: gateConfiguration(this.configuration, gate),
      log,
      onSet: (set) => task.applySet(set),
      send: (peer, frame) => task.sendSet(peer, frame),
      random: () => 0.5,
    };
  }

  #createProcess<T extends EntryTask | SidecarTask>(
    endpoint: Endpoint,
    identity: Identity,
    task: T,
  ): WorldProcess<T> {
    return {
      ...endpoint,
      task,
      identity,
      kill: () => {
        endpoint.gate.kill();
        task.stop();
        this.network.reset(endpoint);
      },
    };
  }
}
