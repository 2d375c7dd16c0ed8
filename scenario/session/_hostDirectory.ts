import type { Milliseconds } from '../../core/clock/mod.ts';
import type { ListedHost } from '../../core/membership/mod.ts';
import type { VirtualWorld } from '../world/mod.ts';

/** Simulates the platform's host directory, whose list may lag behind the actual hosts. */
export class HostDirectory {
  readonly #world: VirtualWorld;

  /** Time after which a change appears in the list. */
  delayMs: Milliseconds = 0;

  #hosts: readonly ListedHost[] = [];

  constructor(world: VirtualWorld) {
    this.#world = world;
  }

  /** The actual hosts, without the delay of the list. */
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
    this.#publish([...this.#hosts.filter((each) => each.host !== host), member]);
  }

  /** Sets the state of a host to `leaving`. */
  markLeaving(host: string): void {
    this.#publish(
      this.#hosts.map((each) => (each.host === host ? { ...each, state: 'leaving' } : each)),
    );
  }

  /** Removes a host from the list. */
  remove(host: string): void {
    this.#publish(this.#hosts.filter((each) => each.host !== host));
  }

  #publish(hosts: readonly ListedHost[]): void {
    this.#hosts = hosts;
    const update = (): void => {
      this.#world.hosts = hosts;
    };
    if (this.delayMs === 0) update();
    else this.#world.clock.schedule(this.delayMs, update);
  }
}
