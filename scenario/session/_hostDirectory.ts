import type { Milliseconds } from '../../core/clock/mod.ts';
import type { ListedHost } from '../../core/membership/mod.ts';
import type { VirtualWorld } from '../world/mod.ts';

/** What the platform knows of hosts; its list shows changes late. */
export class HostDirectory {
  readonly #world: VirtualWorld;

  /** Time by which the list lags. */
  delayMs: Milliseconds = 0;

  #hosts: readonly ListedHost[] = [];

  constructor(world: VirtualWorld) {
    this.#world = world;
  }

  /** Hosts as they are, without delay. */
  get hosts(): readonly ListedHost[] {
    return this.#hosts;
  }

  /** Adds a live host, or moves it to another address. */
  add(host: string, address = host): void {
    const member: ListedHost = {
      host,
      role: 'sidecar',
      address,
      availabilityZone: 'az-1',
      state: 'live',
    };
    this.#show([...this.#hosts.filter((each) => each.host !== host), member]);
  }

  /** Marks a host as leaving. */
  markLeaving(host: string): void {
    this.#show(
      this.#hosts.map((each) => (each.host === host ? { ...each, state: 'leaving' } : each)),
    );
  }

  /** Takes a host off the list. */
  remove(host: string): void {
    this.#show(this.#hosts.filter((each) => each.host !== host));
  }

  #show(hosts: readonly ListedHost[]): void {
    this.#hosts = hosts;
    const show = (): void => {
      this.#world.hosts = hosts;
    };
    if (this.delayMs === 0) show();
    else this.#world.clock.schedule(this.delayMs, show);
  }
}
