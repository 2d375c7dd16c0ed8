import type { Milliseconds } from '../clock/mod.ts';
import { hashText, rendezvousOrder } from '../placement/mod.ts';
import type { BackendServer, ModelName } from '../serving/mod.ts';

/** The parts of a prompt, as they are looked up. */
export type PromptPrefix = {
  /** A key for each leading part, which stands for the model and all parts up to it. */
  readonly keys: readonly number[];
  /** Tokens of each part. */
  readonly tokens: readonly number[];
};

/** Tokens of a prompt that a server is estimated to hold. */
export type HeldTokens = {
  readonly tokens: number;
  /** Time since this entry last sent the last part that is held; `undefined` if it has not. */
  readonly ageMs: Milliseconds | undefined;
};

/** Parts of a prompt that are considered, at most. */
const MAX_PARTS = 16;

/** Parts that are remembered for one server, at most. */
const MAX_REMEMBERED_PARTS = 4000;

/**
 * Chance that the servers of a prompt in rendezvous order hold its shared parts, if this entry does not know
 * it. All entries prefer the first one at equal load and the second one when the first is busy, so they
 * agree without messages.
 */
const HOME_CHANCES = [1, 0.9, 0.7];

type Part = {
  readonly tokens: number;
  readonly version: number;
  readonly sentAt: Milliseconds;
};

type ServerParts = {
  bornAt: number;
  tokens: number;
  /** The least recently used part first. */
  readonly parts: Map<number, Part>;
};

type ServerIdentity = Pick<BackendServer, 'id' | 'bornAt'>;

const NOTHING_HELD: HeldTokens = { tokens: 0, ageMs: undefined };

/**
 * Returns the parts of a prompt for look-ups.
 *
 * @param ids Ids of the parts, in order; the last one belongs to the request or its session.
 * @param tokens Tokens of each part.
 */
export function promptPrefix(
  model: ModelName,
  ids: readonly string[],
  tokens: readonly number[],
): PromptPrefix {
  let key = hashText(model);
  const keys = ids.slice(0, MAX_PARTS).map((id) => {
    key = hashText(id, key);
    return key;
  });
  return { keys, tokens: keys.map((_key, index) => tokens[index] ?? 0) };
}

/** Removes a part from what a server is estimated to hold. */
function drop(known: ServerParts, key: number): void {
  const part = known.parts.get(key);
  if (part === undefined) return;
  known.parts.delete(key);
  known.tokens -= part.tokens;
}

/**
 * What the servers are estimated to hold by this entry's own sends. The least recently used parts are
 * dropped beyond the memory that is left for them, and all parts when a server starts again.
 */
export class PromptCacheBelief {
  readonly #servers = new Map<string, ServerParts>();

  /**
   * Returns the tokens of the leading parts that a server is estimated to hold.
   *
   * @param version The version of the model or adapter that the server holds.
   */
  heldTokens(
    server: ServerIdentity,
    version: number,
    { keys, tokens }: PromptPrefix,
    now: Milliseconds,
  ): HeldTokens {
    const known = this.#servers.get(server.id);
    if (known === undefined || known.bornAt !== server.bornAt) return NOTHING_HELD;
    let held = 0;
    let ageMs: Milliseconds | undefined;
    for (const [index, key] of keys.entries()) {
      const part = known.parts.get(key);
      if (part === undefined || part.version !== version) break;
      held += tokens[index]!;
      ageMs = now - part.sentAt;
    }
    return { tokens: held, ageMs };
  }

  /**
   * Returns the tokens of the shared parts of a prompt that servers are expected to hold by rendezvous
   * hashing alone, by server id; servers that are not listed are expected to hold none.
   *
   * @param serverIds The servers that may serve the request.
   */
  static likelyTokens(
    { keys, tokens }: PromptPrefix,
    serverIds: readonly string[],
  ): ReadonlyMap<string, number> {
    const [first] = keys;
    if (first === undefined || keys.length < 2) return new Map();
    const shared = tokens.slice(0, -1).reduce((sum, count) => sum + count, 0);
    const order = rendezvousOrder(String(first), serverIds).slice(0, HOME_CHANCES.length);
    return new Map(order.map((id, index) => [id, shared * HOME_CHANCES[index]!]));
  }

  /**
   * Records that a prompt was sent to a server.
   *
   * @param capacityTokens Tokens of parts sent by this entry that the server can keep.
   */
  noteSent(
    server: ServerIdentity,
    version: number,
    prefix: PromptPrefix,
    capacityTokens: number,
    now: Milliseconds,
  ): void {
    const known = this.#partsOf(server);
    // The last part first, so that leading parts are used more recently and stay longer.
    for (let index = prefix.keys.length - 1; index >= 0; index -= 1) {
      const key = prefix.keys[index]!;
      const tokens = prefix.tokens[index]!;
      drop(known, key);
      known.parts.set(key, { tokens, version, sentAt: now });
      known.tokens += tokens;
    }
    for (const key of known.parts.keys()) {
      if (known.tokens <= capacityTokens && known.parts.size <= MAX_REMEMBERED_PARTS) return;
      drop(known, key);
    }
  }

  /** Forgets a server that has been removed. */
  forget(serverId: string): void {
    this.#servers.delete(serverId);
  }

  #partsOf({ id, bornAt }: ServerIdentity): ServerParts {
    let known = this.#servers.get(id);
    if (known !== undefined && known.bornAt !== bornAt) {
      this.forget(id);
      known = undefined;
    }
    if (known === undefined) {
      known = { bornAt, tokens: 0, parts: new Map() };
      this.#servers.set(id, known);
    }
    return known;
  }
}
