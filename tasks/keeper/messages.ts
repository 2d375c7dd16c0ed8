import { Packr } from 'msgpackr';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Engine, Holding, ModelName } from '../../core/serving/mod.ts';

/** What an entry tells the keeper of an engine. */
export type EntryMessage =
  /** Begins a link, and is sent again when the engine or its record changes. */
  | {
      readonly kind: 'hello';
      readonly entry: string;
      readonly engine: Engine;
      readonly serverId: string;
      readonly bornAt: number;
      /** The highest fencing token that the entry has heard of for this engine. */
      readonly fencingToken: number;
    }
  /** A request waits for an adapter. */
  | {
      readonly kind: 'want';
      readonly name: ModelName;
      readonly version: number;
      readonly waitMs: Milliseconds;
    }
  /** How many of the entry's requests use an adapter now. */
  | { readonly kind: 'use'; readonly name: ModelName; readonly count: number };

/** What a keeper tells an entry. */
export type KeeperMessage = {
  readonly kind: 'state';
  /** Absent when the same as in the message before. */
  readonly holdings?: readonly Holding[];
  readonly running: number;
  readonly queued: number;
  readonly freeablePlaces: number;
  readonly awaited: number;
  readonly fencingToken: number;
};

const packr = new Packr({ useRecords: false });

/** Encodes a message of a keeper's link. */
export function encodeMessage(message: EntryMessage | KeeperMessage): Uint8Array {
  return packr.pack(message);
}

/**
 * Decodes a message of a keeper's link.
 *
 * @throws {Error} When the bytes are no message.
 */
export function decodeMessage(bytes: Uint8Array): EntryMessage | KeeperMessage {
  const value: unknown = packr.unpack(bytes);
  if (typeof value !== 'object' || value === null || !('kind' in value)) {
    throw new Error('the bytes are no message of a keeper link; check the versions of both ends');
  }
  return value as EntryMessage | KeeperMessage;
}
