import type { Milliseconds } from '../clock/mod.ts';
import { EntryLink } from './entryLink.ts';
import type { EntryLinkAction, Epoch } from './entryLink.ts';
import type { EntryFrame, Envelope, SidecarFrame } from './frames.ts';
import { SidecarLinks } from './sidecarLink.ts';
import type { SidecarLinksAction } from './sidecarLink.ts';

const KEY = 'link-pair-key-0123456789-abcdefghij';

const REPORT = {
  running: 0,
  waiting: 0,
  batchWidth: 1,
  resident: [],
  leaving: false,
  backendServer: 'b1',
};

/** Options of a `LinkPair`. */
export type LinkPairOptions = {
  /** Incarnation of the sidecar. @default 's-1' */
  readonly sidecarIncarnation?: string;
  /** The link key of the entry. @default the sidecar's key */
  readonly entryKey?: string;
  /** The host to which the entry connects. @default 'h1' */
  readonly target?: string;
};

/** Both sides of one link, connected in memory on a virtual clock; tests can drop frames. */
export class LinkPair {
  readonly entry: EntryLink;

  sidecar: SidecarLinks;

  /** All actions of the entry, in order. */
  readonly entryActions: EntryLinkAction[] = [];

  /** All actions of the sidecar, in order. */
  readonly sidecarActions: SidecarLinksAction[] = [];

  /** Connections that drop all frames. */
  readonly lost = new Set<Epoch>();

  now: Milliseconds = 0;

  #nonceCount = 0;

  constructor(options: LinkPairOptions = {}) {
    this.entry = new EntryLink({
      identity: { role: 'entry', host: 'e1', incarnation: 'e-1' },
      target: options.target ?? 'h1',
      keys: [options.entryKey ?? KEY],
      nonce: () => this.#createNonce(),
    });
    this.sidecar = this.createSidecar(options.sidecarIncarnation ?? 's-1');
  }

  /** Creates the sidecar side with the given incarnation. */
  createSidecar(incarnation: string): SidecarLinks {
    return new SidecarLinks({
      identity: { role: 'sidecar', host: 'h1', incarnation },
      keys: [KEY],
      nonce: () => this.#createNonce(),
      status: () => ({ set: { generation: 0, digest: '' }, report: REPORT }),
    });
  }

  /** Advances the clock in steps of 50 ms and ticks both sides. */
  advance(durationMs: Milliseconds): void {
    const end = this.now + durationMs;
    while (this.now < end) {
      this.now += 50;
      this.perform(this.entry.tick(this.now));
      this.performSidecar(this.sidecar.tick(this.now));
    }
  }

  /** Performs the entry's actions. */
  perform(actions: readonly EntryLinkAction[]): void {
    for (const action of actions) {
      this.entryActions.push(action);
      if (action.kind === 'dial') this.#open(action.epoch);
      if (action.kind === 'send') this.#sendToSidecar(action.epoch, action.envelope);
      if (action.kind === 'close') this.sidecar.closed(action.epoch);
    }
  }

  /** Performs the sidecar's actions. */
  performSidecar(actions: readonly SidecarLinksAction[]): void {
    for (const action of actions) {
      this.sidecarActions.push(action);
      if (action.kind === 'send') this.#sendToEntry(action.connection, action.envelope);
      if (action.kind === 'close') this.perform(this.entry.closed(action.connection, this.now));
    }
  }

  #createNonce(): string {
    this.#nonceCount += 1;
    return `nonce-${this.#nonceCount}`;
  }

  #open(epoch: Epoch): void {
    this.sidecar.accepted(epoch, this.now);
    this.perform(this.entry.opened(epoch));
  }

  #sendToSidecar(epoch: Epoch, envelope: Envelope<EntryFrame>): void {
    if (this.lost.has(epoch)) return;
    this.performSidecar(this.sidecar.received(epoch, envelope, this.now));
  }

  #sendToEntry(epoch: Epoch, envelope: Envelope<SidecarFrame>): void {
    if (this.lost.has(epoch)) return;
    this.perform(this.entry.received(epoch, envelope, this.now));
  }
}
