import { EntryLink, SidecarLinks } from '../../core/link/mod.ts';
import type {
  EntryFrame,
  EntryLinkAction,
  ExchangeEvent,
  SidecarFrame,
  SidecarLinksAction,
} from '../../core/link/mod.ts';
import { decodeEnvelope, encodeEnvelope } from '../../tasks/_codec.ts';

const LINK_KEYS = ['capacity-link-key-0123456789abcdef'] as const;

const CONNECTION_ID = 1;

const SET_STAMP = { generation: 27_000, digest: 'd'.repeat(64) };

/** Both ends of a link, connected in memory through the codec of the wire format. */
export class LinkPair {
  readonly entry: EntryLink;

  readonly sidecar: SidecarLinks;

  bytes = 0;

  messages = 0;

  #now = 0;

  constructor(resident: number) {
    const target = 'engine-01234';
    const report = {
      running: 12,
      waiting: 3,
      batchWidth: 16,
      resident: Array.from(
        { length: resident },
        (_, each) => `house-${each}/finding-aid-${each}@2`,
      ),
      leaving: false,
      backendServer: target,
    };
    const nonce = (): string => 'nonce-0123456789abcdef';
    this.entry = new EntryLink({
      identity: { role: 'entry', host: 'entry-0123', incarnation: 'incarnation-entry-012' },
      target,
      keys: LINK_KEYS,
      nonce,
    });
    this.sidecar = new SidecarLinks({
      identity: { role: 'sidecar', host: target, incarnation: 'incarnation-sidecar-0' },
      keys: LINK_KEYS,
      nonce,
      status: () => ({ set: SET_STAMP, report }),
    });
    this.entry.updateOwnSet(SET_STAMP);
    this.advance(1);
    this.bytes = 0;
    this.messages = 0;
  }

  /** Advances the time and runs the timers of both ends. */
  advance(time: number): void {
    this.#now += time;
    this.#performEntry(this.entry.tick(this.#now));
    this.#performSidecar(this.sidecar.tick(this.#now));
  }

  /** Submits a call from the entry. */
  submit(exchange: string): void {
    const limits = { generation: SET_STAMP.generation, budgetMs: 60_000 };
    const call = {
      kind: 'completion',
      adapterVersion: 'house-1/finding-aid-1@2',
      tenant: 'house-1',
      prompt: 'x'.repeat(400),
      maxTokens: 256,
      priority: 0,
    } as const;
    this.#performEntry(this.entry.submit(exchange, call, limits, this.#now));
  }

  /** Emits an event of an exchange from the sidecar. */
  emit(exchange: string, event: ExchangeEvent): void {
    this.#performSidecar(this.sidecar.emit(exchange, event));
  }

  #count(bytes: Uint8Array): Uint8Array {
    this.bytes += bytes.length;
    this.messages += 1;
    return bytes;
  }

  #performEntry(actions: readonly EntryLinkAction[]): void {
    for (const action of actions) {
      if (action.kind === 'dial') {
        this.sidecar.accepted(CONNECTION_ID, this.#now);
        this.#performEntry(this.entry.opened(action.epoch));
      }
      if (action.kind === 'send') {
        const bytes = this.#count(encodeEnvelope(action.envelope));
        const envelope = decodeEnvelope<EntryFrame>(bytes, 'entry')!;
        this.#performSidecar(this.sidecar.received(CONNECTION_ID, envelope, this.#now));
      }
    }
  }

  #performSidecar(actions: readonly SidecarLinksAction[]): void {
    for (const action of actions) {
      if (action.kind === 'send') {
        const bytes = this.#count(encodeEnvelope(action.envelope));
        const envelope = decodeEnvelope<SidecarFrame>(bytes, 'sidecar')!;
        this.#performEntry(this.entry.received(1, envelope, this.#now));
      }
    }
  }
}
