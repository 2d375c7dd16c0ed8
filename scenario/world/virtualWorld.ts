import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { Milliseconds, VirtualClock } from '../../core/clock/mod.ts';
import type { Identity } from '../../core/link/mod.ts';
import { isWatcher } from '../../core/membership/mod.ts';
import type { ListedHost } from '../../core/membership/mod.ts';
import { checkSet, packSet, parseSet, SIDECAR_SCOPE } from '../../core/set/mod.ts';
import type { Log, LogEventName, LogFields } from '../../log/mod.ts';
import { ConfigurationModel } from '../../standins/mod.ts';
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
  /** @default 1 */
  readonly seed?: number;
  /** One-way delay between two hosts. @default 0.5 */
  readonly latencyMs?: Milliseconds;
  /** Decides what happens to each frame. @default every frame is delivered */
  readonly treat?: VirtualNetworkOptions['treat'];
  /** Told of every log event of every process. */
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
  /** Kills the process; its connections are reset. */
  readonly kill: () => void;
};

const LINK_KEYS = ['virtual-world-link-key-0123456789'] as const;

const NONCE_LIMIT = 0x7fff_ffff;

/** Lets all pending promises and mailboxes run. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Processes of the product on a virtual clock and network, with stand-ins round them.
 *
 * One seed gives the same events in the same order.
 */
export class VirtualWorld {
  readonly clock: VirtualClock = createVirtualClock();

  readonly network: VirtualNetwork;

  readonly configuration: ConfigurationModel;

  /** What the platform's list of hosts says. */
  hosts: readonly ListedHost[] = [];

  readonly #options: VirtualWorldOptions;

  readonly #random;

  constructor(options: VirtualWorldOptions = {}) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed ?? 1);
    this.network = new VirtualNetwork({
      clock: this.clock,
      latency: () => options.latencyMs ?? 0.5,
      ...(options.treat === undefined ? {} : { treat: options.treat }),
    });
    this.configuration = new ConfigurationModel(this.clock);
  }

  /** Draws a random whole number from 0 to `limit - 1`. */
  randomBelow(limit: number): number {
    return uniformInt(this.#random, 0, limit - 1);
  }

  /** Draws a nonce. */
  nonce(): string {
    return `${this.randomBelow(NONCE_LIMIT).toString(36)}${this.randomBelow(NONCE_LIMIT).toString(36)}`;
  }

  /** Checks the files of a set and puts its values into the configuration service. */
  publish(generation: number, text: string): void {
    const parsed = parseSet([{ file: 'set.ini', text }]);
    const check = checkSet(parsed.declarations);
    const problems = [...parsed.problems, ...check.problems];
    if (problems.length > 0) throw new Error(problems.map(({ message }) => message).join('; '));
    packSet(check.objects, generation).values.forEach(({ name, text: value }) =>
      this.configuration.put(name, value),
    );
  }

  /** Starts an entry. */
  startEntry(host: string): WorldProcess<EntryTask> {
    const endpoint = this.#endpoint(host);
    const identity: Identity = { role: 'entry', host, incarnation: this.nonce() };
    const { clock } = endpoint.gate;
    const log = this.#log(host);
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
      ...this.#setOptions(endpoint, log, task),
      isWatcher: () => isWatcher(task.members, { host, availabilityZone: 'az-1' }),
    });
    task.subscribeSetEvents((news) => setTask.handleEvent(news));
    setTask.start();
    new HostListTask({
      clock,
      hostList: { read: () => endpoint.gate.hold(Promise.resolve(this.hosts)) },
      log,
      onHosts: (hosts) => task.applyHosts(hosts),
    }).start();
    return this.#process(endpoint, identity, task);
  }

  /**
   * Starts a sidecar.
   *
   * @param host Its host.
   * @param backend The backend server beside it.
   * @param address Where it listens; the host's name unless given.
   */
  startSidecar(host: string, backend: Backend, address = host): WorldProcess<SidecarTask> {
    const endpoint = this.#endpoint(host);
    const identity: Identity = { role: 'sidecar', host, incarnation: this.nonce() };
    const { clock } = endpoint.gate;
    const log = this.#log(host);
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
      ...this.#setOptions(endpoint, log, task),
      isWatcher: () => false,
      forwards: true,
      scope: SIDECAR_SCOPE,
    });
    task.subscribeSetEvents((news) => setTask.handleEvent(news));
    this.network.listen(address, endpoint, (peer) => task.accept(peer));
    setTask.start();
    task.start();
    return this.#process(endpoint, identity, task);
  }

  /** Lists hosts as live sidecars. */
  listSidecars(hosts: readonly string[]): void {
    this.hosts = hosts.map((host) => ({
      host,
      role: 'sidecar',
      address: host,
      availabilityZone: 'az-1',
      state: 'live',
    }));
  }

  /** Lets a time pass. */
  async advance(time: Milliseconds): Promise<void> {
    const target = this.clock.now() + time;
    await settle();
    for (;;) {
      const due = this.clock.nextDue();
      if (due === undefined || due > target) break;
      this.clock.runNext();
      await settle();
    }
    this.clock.moveTo(target);
  }

  /**
   * Lets time pass until a condition holds.
   *
   * @returns Whether it held within `limit`.
   */
  async advanceUntil(condition: () => boolean, limit: Milliseconds): Promise<boolean> {
    const target = this.clock.now() + limit;
    await settle();
    while (!condition()) {
      const due = this.clock.nextDue();
      if (due === undefined || due > target) return false;
      this.clock.runNext();
      await settle();
    }
    return true;
  }

  #endpoint(host: string): Endpoint {
    return { host, gate: new ProcessGate(this.clock) };
  }

  #log(host: string): Log {
    return (event, fields = {}) => this.#options.onLog?.(this.clock.now(), host, event, fields);
  }

  #setOptions({ gate }: Endpoint, log: Log, task: EntryTask | SidecarTask): SetTaskOptions {
    return {
      clock: gate.clock,
      configuration: gateConfiguration(this.configuration, gate),
      log,
      onSet: (set) => task.applySet(set),
      send: (peer, frame) => task.sendSet(peer, frame),
      random: () => 0.5,
    };
  }

  #process<T extends EntryTask | SidecarTask>(
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
