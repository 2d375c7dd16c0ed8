import { createHash } from 'node:crypto';
import type { Milliseconds } from '../clock/mod.ts';
import type { Incarnation } from '../identity/mod.ts';
import { failed, notRun, unknown } from '../outcome/mod.ts';
import type { Outcome } from '../outcome/mod.ts';
import { formatKey, isKeySigned, parseKey } from './key.ts';

/** How a keyed call ended, with the service's answer. */
export type KeyedOutcome = { readonly outcome: Outcome; readonly body: string };

/** A key and the tenant that uses it. */
export type TenantKey = { readonly tenant: string; readonly key: string };

/** What to do with a call that bears a key. */
export type KeyVerdict =
  /** The call runs now; `settle` must follow. */
  | { readonly kind: 'run' }
  /** The call of this key runs already; its outcome will be told to `waitFor` callbacks. */
  | { readonly kind: 'running' }
  | ({ readonly kind: 'settled' } & KeyedOutcome);

/** How to build a `KeyLedger`. */
export type KeyLedgerOptions = {
  readonly host: string;
  readonly incarnation: Incarnation;
  /** Drawn at start and never leaves the process. */
  readonly secret: string;
  /** Returns a random nonce. */
  readonly nonce: () => string;
  /** Time for which a key may be used. @default 600000 */
  readonly lifetimeMs?: Milliseconds;
  /** Keys remembered at a time. @default 100000 */
  readonly capacity?: number;
};

type Entry = {
  readonly expiresAt: Milliseconds;
  readonly callDigest: string;
  state: 'running' | 'settled' | 'revoked';
  result: KeyedOutcome;
};

const PENDING: KeyedOutcome = {
  outcome: unknown('reply-lost', 'the call has not ended; look its key up again'),
  body: '',
};

const NOT_BEGUN: KeyedOutcome = {
  outcome: unknown('not-begun', 'no call of this key has begun; revoke the key to forbid it'),
  body: '',
};

const NOT_REVOKED: KeyedOutcome = {
  outcome: unknown('not-begun', 'too many keys are in use to revoke this one now; ask again'),
  body: '',
};

const REVOKED: KeyedOutcome = {
  outcome: notRun('revoked', 'the key was revoked before its call began; get a new key'),
  body: '',
};

function settled(outcome: Outcome): KeyVerdict {
  return { kind: 'settled', outcome, body: '' };
}

function judgeKnown(entry: Entry, callDigest: string): KeyVerdict {
  if (entry.state === 'revoked') return { kind: 'settled', ...entry.result };
  if (entry.callDigest !== callDigest) {
    return settled(failed('key-reused', 'the key belongs to another call; get a new key'));
  }
  if (entry.state === 'running') return { kind: 'running' };
  return { kind: 'settled', ...entry.result };
}

/**
 * Remembers the call of every idempotency key that one incarnation of a sidecar minted.
 *
 * A key runs at most once, and only at the incarnation that minted it.
 */
export class KeyLedger {
  readonly #options: Required<KeyLedgerOptions>;

  /** In order of expiry, since all keys have the same lifetime from first use. */
  readonly #entries = new Map<string, Entry>();

  constructor(options: KeyLedgerOptions) {
    this.#options = { lifetimeMs: 600_000, capacity: 100_000, ...options };
  }

  /** Keys remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** Mints a key that only the given tenant may use. */
  mint(tenant: string, now: Milliseconds): string {
    const { host, incarnation, lifetimeMs, nonce, secret } = this.#options;
    const expiresAt = Math.floor(now + lifetimeMs);
    return formatKey({ host, incarnation, expiresAt, nonce: nonce() }, secret, tenant);
  }

  /**
   * Judges a call that bears a key; the answer `run` is given at most once for each key.
   *
   * @param key The key, with the tenant that uses it.
   * @param mayBegin Whether a call that has not begun may begin; otherwise its key is revoked.
   */
  begin({ tenant, key }: TenantKey, call: string, now: Milliseconds, mayBegin = true): KeyVerdict {
    this.#expire(now);
    const refusal = this.#refuse(tenant, key, now);
    if (refusal !== undefined) return settled(refusal);
    const callDigest = createHash('sha256').update(call).digest('hex');
    const known = this.#entries.get(key);
    if (known !== undefined) return judgeKnown(known, callDigest);
    if (!mayBegin) return { kind: 'settled', ...this.revoke({ tenant, key }, now) };
    if (this.#entries.size >= this.#options.capacity) {
      return settled(notRun('overloaded', 'too many keys are in use; ask again', 1000));
    }
    this.#remember(key, { callDigest, state: 'running', result: PENDING });
    return { kind: 'run' };
  }

  /** Notes how the call of a key ended. */
  settle(key: string, result: KeyedOutcome): void {
    const entry = this.#entries.get(key);
    if (entry === undefined) return;
    if (result.outcome.kind === 'not-run') {
      this.#entries.delete(key);
      return;
    }
    entry.state = 'settled';
    entry.result = result;
  }

  /** Returns how the call of a key ended, as far as this incarnation knows. */
  lookup({ tenant, key }: TenantKey, now: Milliseconds): KeyedOutcome {
    const refusal = this.#refuse(tenant, key, now);
    if (refusal !== undefined) return { outcome: refusal, body: '' };
    const entry = this.#entries.get(key);
    if (entry !== undefined) return entry.result;
    return NOT_BEGUN;
  }

  /** Forbids the call of a key for ever, unless it has begun; returns how it ended. */
  revoke({ tenant, key }: TenantKey, now: Milliseconds): KeyedOutcome {
    this.#expire(now);
    const refusal = this.#refuse(tenant, key, now);
    if (refusal !== undefined) return { outcome: refusal, body: '' };
    const entry = this.#entries.get(key);
    if (entry !== undefined) return entry.result;
    if (this.#entries.size >= this.#options.capacity) return NOT_REVOKED;
    this.#remember(key, { callDigest: '', state: 'revoked', result: REVOKED });
    return REVOKED;
  }

  #remember(key: string, entry: Omit<Entry, 'expiresAt'>): void {
    const expiresAt = parseKey(key)?.expiresAt ?? 0;
    this.#entries.set(key, { ...entry, expiresAt });
  }

  #refuse(tenant: string, key: string, now: Milliseconds): Outcome | undefined {
    const parts = parseKey(key);
    if (parts === undefined || parts.host !== this.#options.host) {
      return notRun(
        'bad-request',
        'this is not a key of this service; get one from its keys address',
      );
    }
    if (parts.incarnation !== this.#options.incarnation) {
      return unknown('restarted', 'the key is older than the last restart; check its effect');
    }
    if (!isKeySigned(key, this.#options.secret, tenant)) {
      const remedy = "get one from the service's keys address";
      return notRun('bad-request', `the key is forged or another tenant's; ${remedy}`);
    }
    if (parts.expiresAt <= now) {
      return unknown('key-expired', 'the key has expired; check its effect');
    }
    return undefined;
  }

  /** Forgets expired keys; a call that still runs is kept. */
  #expire(now: Milliseconds): void {
    for (const [key, entry] of this.#entries) {
      if (entry.expiresAt > now) return;
      if (entry.state !== 'running') this.#entries.delete(key);
    }
  }
}
