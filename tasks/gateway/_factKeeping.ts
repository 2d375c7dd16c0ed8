import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import { rendezvousOrder } from '../../core/placement/mod.ts';
import type { FactCopy } from '../../core/factCopies/mod.ts';
import { SHARED_KINDS } from './peerTask.ts';
import type { SharedStates } from './peerTask.ts';
import type { ServerKeepers } from './serverKeepers.ts';

/** Options of `FactKeeping`. */
export type FactKeepingOptions = {
  readonly clock: Clock;
  /** Name of this entry among its peers. */
  readonly self: string;
  /** Returns the names of the other live entries. */
  readonly peers: () => readonly string[];
  readonly keepers: () => ServerKeepers;
  /** Returns what the entries tell each other. */
  readonly shared: () => SharedStates;
  /** Called when the other entries should learn of a change. */
  readonly onSharedChange: () => void;
};

/** Key of the choice of the processes that send and keep copies. */
const CHOICE_KEY = 'shared-facts';

/** Keepers that keep copies. */
const COPY_KEEPERS = 3;

/** Entries that send copies; all know nearly the same. */
const COPY_SENDERS = 2;

/** Time from a change to the copy that contains it, so that several changes go out together. */
const SEND_DELAY_MS: Milliseconds = 250;

/** Has keepers keep what the entries tell each other, for entries that all end and start again. */
export class FactKeeping {
  readonly #options: FactKeepingOptions;

  #cancelSend: Cancellation | undefined;

  constructor(options: FactKeepingOptions) {
    this.#options = options;
  }

  /** Records that something has changed, which the other entries and the keepers should learn. */
  noteChange(): void {
    this.#options.onSharedChange();
    this.#cancelSend ??= this.#options.clock.schedule(SEND_DELAY_MS, () => {
      this.#cancelSend = undefined;
      this.#chosenKeepers().forEach((address) => this.#send(address));
    });
  }

  /** Sends a copy to a keeper whose link has opened, if it is to keep one. */
  noteOpen(address: string): void {
    if (this.#chosenKeepers().includes(address)) this.#send(address);
  }

  /** Applies what a keeper has kept. */
  apply(facts: FactCopy): void {
    const now = this.#options.clock.now();
    const { quarantine, requests, limits, notices } = this.#options.shared();
    if (facts.quarantine !== undefined) quarantine.applyUpdate(facts.quarantine, now);
    if (facts.requests !== undefined) requests.applyUpdate(facts.requests, now);
    if (facts.limits !== undefined) limits.applyUpdate(facts.limits, now);
    if (facts.notices !== undefined) notices.applyUpdate(facts.notices, now);
  }

  /** Stops sending. */
  close(): void {
    this.#cancelSend?.();
  }

  #chosenKeepers(): readonly string[] {
    const { self, peers, keepers } = this.#options;
    const senders = rendezvousOrder(CHOICE_KEY, [self, ...peers()]).slice(0, COPY_SENDERS);
    if (!senders.includes(self)) return [];
    const { all, isOpen } = keepers();
    const addresses = [...new Set(all().map(({ address }) => address))];
    return rendezvousOrder(CHOICE_KEY, addresses.filter(isOpen)).slice(0, COPY_KEEPERS);
  }

  #send(address: string): void {
    const { clock, keepers, shared } = this.#options;
    const states = shared();
    if (SHARED_KINDS.every((kind) => states[kind].change === 0)) return;
    const now = clock.now();
    const facts: FactCopy = {
      quarantine: states.quarantine.updateSince(0, now),
      requests: states.requests.updateSince(0, now),
      limits: states.limits.updateSince(0, now),
      notices: states.notices.updateSince(0, now),
    };
    keepers().send(address, { kind: 'facts', facts });
  }
}
