import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { MirroredRecord, MirrorUpdate } from '../../core/mirror/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { deflateRecord, inflateRecord } from './_deflatedRecords.ts';
import { encodePeerMessage } from './_peerMessages.ts';
import type { NewsMessage, Revisions } from './_peerMessages.ts';
import type { Mirrors } from './peerTask.ts';

/** Options of `RecordNews`. */
export type RecordNewsOptions = {
  readonly mirrors: Mirrors;
  readonly clock: Clock;
  readonly log: Log;
  /** @default counts nothing */
  readonly metrics?: Pick<Metrics, 'count'> | undefined;
  /** Returns when the grace period for removed records ends, if other entries are to be told. */
  readonly removalGraceUntil: (prefix: string) => Milliseconds | undefined;
  /** Called with each update; see `PeerTaskOptions`. */
  readonly onUpdate: (
    prefix: string,
    update: MirrorUpdate,
    removalGraceUntil: Milliseconds | undefined,
  ) => void;
};

/** What is on its way on one connection. */
type NewsOnTheWay = {
  /** Revision that the receiver will have. */
  readonly asOf: number;
  /** Revision that the receiver had, by its latest message. */
  readonly known: number;
  /** When the receiver was last seen to advance, or was sent everything. */
  readonly since: Milliseconds;
};

/** What is on its way on one connection, by key prefix. */
export type SentNews = Map<string, NewsOnTheWay>;

/** An entry that may lack records. */
export type NewsReceiver = {
  /** Revisions of its mirrors. */
  readonly asOf: Revisions;
  /** Whether it accepts deflated values. */
  readonly inflates?: boolean | undefined;
  /** What it was sent on its connection. */
  readonly sent: SentNews;
  readonly send: (bytes: Uint8Array) => void;
};

/**
 * Time after which an entry that does not advance is sent everything again. What is on its way on a connection
 * arrives in its order, unless the connection closes; copies would only hold up what comes behind them.
 */
const REPEAT_AFTER_MS: Milliseconds = 1500;

/** Sends other entries the records that they lack, and takes those that this entry lacks. */
export class RecordNews {
  readonly #options: RecordNewsOptions;

  constructor(options: RecordNewsOptions) {
    this.#options = options;
  }

  /** Sends the changes of the mirrors after the revisions of the receiver that are not on their way to it. */
  send(receiver: NewsReceiver): void {
    const now = this.#options.clock.now();
    this.#options.mirrors.forEach((mirror, prefix) => {
      const known = receiver.asOf[prefix] ?? -1;
      const last = receiver.sent.get(prefix);
      const isOnTheWay = last !== undefined && last.asOf > known;
      const hasAdvanced = last === undefined || known > last.known;
      const since = hasAdvanced || !isOnTheWay ? now : last.since;
      const isRepeated = !isOnTheWay || now - since >= REPEAT_AFTER_MS;
      const update = mirror.updateSince(isRepeated ? receiver.asOf[prefix] : last.asOf);
      const asOf = update?.asOf ?? Math.max(known, last?.asOf ?? known);
      receiver.sent.set(prefix, { asOf, known, since: isRepeated ? now : since });
      if (update !== undefined) this.#sendUpdate(receiver, prefix, update);
    });
  }

  /** Takes the records that another entry has sent. */
  receive({ prefix, news, removalGraceMs }: NewsMessage): void {
    const { clock, log, mirrors, onUpdate } = this.#options;
    const { since, records, asOf } = news;
    const isNewer = asOf > (mirrors.get(prefix)?.asOf ?? -1);
    const graceUntil = removalGraceMs === undefined ? undefined : clock.now() + removalGraceMs;
    let inflated: readonly MirroredRecord[];
    try {
      inflated = isNewer ? records.map(inflateRecord) : [];
    } catch (error) {
      log('messageUnreadable', { from: 'an entry', error: String(error) });
      return;
    }
    onUpdate(prefix, { since, records: inflated, asOf }, graceUntil);
  }

  #sendUpdate(
    { inflates = false, send }: NewsReceiver,
    prefix: string,
    { since, records, asOf }: MirrorUpdate,
  ): void {
    const { clock, metrics, removalGraceUntil } = this.#options;
    const until = removalGraceUntil(prefix);
    const message: NewsMessage = {
      kind: 'news',
      prefix,
      news: { since, records: inflates ? records.map(deflateRecord) : records, asOf },
      ...(until !== undefined && { removalGraceMs: Math.max(0, until - clock.now()) }),
    };
    const bytes = encodePeerMessage(message);
    metrics?.count('record_news_sent_total', { prefix });
    metrics?.count('record_news_sent_bytes_total', { prefix }, bytes.length);
    send(bytes);
  }
}
