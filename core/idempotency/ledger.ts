import { createHash } from 'node:crypto';
import type { Milliseconds } from '../clock/mod.ts';
import type { Incarnation } from '../identity/mod.ts';
import { failed, notRun, unknown } from '../outcome/mod.ts';
import type { Outcome } from '../outcome/mod.ts';
import { formatKey, isKeySigned, parseKey } from './key.ts';

/** The outcome of a call with a key, and the body of the service's response. */
export type KeyedOutcome = { readonly outcome: Outcome; readonly body: string };

/** A key and the tenant that uses it. */
export type TenantKey = { readonly tenant: string; readonly key: string };

/** What to do with a call that carries a key. */
export type KeyVerdict =
  /** Run the call, then call `settle`. */
  | { readonly kind: 'run' }
  /** A call with this key is already running. */
  | { readonly kind: 'running' }
  /** Respond with this outcome; do not run the call. */
  | ({ readonly kind: 'settled' } & KeyedOutcome);

/** Options of a `KeyLedger`. */
export type KeyLedgerOptions = {
  readonly host: string;
  readonly incarnation: Incarnation;
  /** Signing secret, generated at start; never leaves the process. */
  readonly secret: string;
  /** Returns a random nonce. */
  readonly nonce: () => string;
  /** Lifetime of a key. @default 600000 */
  readonly lifetimeMs?: Milliseconds;
  /** Maximum number of keys with a record. @default 100000 */
  readonly capacity?: number;
};

type KeyRecord = {
  readonly expiresAt: Milliseconds;
  /** SHA-256 of the text of the call in hexadecimal; empty for a revoked key. */
  readonly callDigest: string;
  state: 'running' | 'settled' | 'revoked';
  result: KeyedOutcome;
};

const PENDING: KeyedOutcome = {
  outcome: unknown('reply-lost', 'the call has not ended; look up its key again'),
  body: '',
};

const NOT_BEGUN: KeyedOutcome = {
  outcome: unknown('not-begun', 'no call with this key has begun; revoke the key to prevent one'),
  body: '',
};

const NOT_REVOKED: KeyedOutcome = {
  outcome: unknown('not-begun', 'too many keys are in use to revoke this one; retry'),
  body: '',
};

const REVOKED: KeyedOutcome = {
  outcome: notRun('revoked', 'the key was revoked before its call began; get a new key'),
  body: '',
};

function settledVerdict(outcome: Outcome): KeyVerdict {
  return { kind: 'settled', outcome, body: '' };
}

function verdictOf(record: KeyRecord, callDigest: string): KeyVerdict {
  if (record.state === 'revoked') return { kind: 'settled', ...record.result };
  if (record.callDigest !== callDigest) {
    return settledVerdict(failed('key-reused', 'the key belongs to another call; get a new key'));
  }
  if (record.state === 'running') return { kind: 'running' };
  return { kind: 'settled', ...record.result };
}

/**
 * Tracks the calls of the idempotency keys that one incarnation of a sidecar minted.
 *
 * The call of a key runs at most once, and only at the incarnation that minted the key.
 */
export class KeyLedger {
  readonly #options: Required<KeyLedgerOptions>;

  /** In order of first use, which approximates the order of expiry. */
  readonly #records = new Map<string, KeyRecord>();

  constructor(options: KeyLedgerOptions) {
    this.#options = { lifetimeMs: 600_000, capacity: 100_000, ...options };
  }

  /** Number of keys with a record. */
  get size(): number {
    return this.#records.size;
  }

  /** Mints a key that only the given tenant may use. */
  mint(tenant: string, now: Milliseconds): string {
    const { host, incarnation, lifetimeMs, nonce, secret } = this.#options;
    const expiresAt = Math.floor(now + lifetimeMs);
    return formatKey({ host, incarnation, expiresAt, nonce: nonce() }, secret, tenant);
  }

  /**
   * Decides what to do with a call that carries a key. Returns `run` once for each key, and again
   * only after `settle` with an outcome that says the call did not run.
   *
   * @param key The key, with the tenant that uses it.
   * @param call The text of the call; another text under the same key is refused.
   * @param mayBegin Whether the call may begin; if not, and it has not begun, its key is revoked.
   */
  begin({ tenant, key }: TenantKey, call: string, now: Milliseconds, mayBegin = true): KeyVerdict {
    this.#removeExpired(now);
    const refusal = this.#checkKey(tenant, key, now);
    if (refusal !== undefined) return settledVerdict(refusal);
    const callDigest = createHash('sha256').update(call).digest('hex');
    const known = this.#records.get(key);
    if (known !== undefined) return verdictOf(known, callDigest);
    if (!mayBegin) return { kind: 'settled', ...this.revoke({ tenant, key }, now) };
    if (this.#records.size >= this.#options.capacity) {
      return settledVerdict(notRun('overloaded', 'too many keys are in use; retry', 1000));
    }
    this.#addRecord(key, { callDigest, state: 'running', result: PENDING });
    return { kind: 'run' };
  }

  /** Records the outcome of the call of a key. */
  settle(key: string, result: KeyedOutcome): void {
    const record = this.#records.get(key);
    if (record === undefined) return;
    if (result.outcome.kind === 'not-run') {
      this.#records.delete(key);
      return;
    }
    record.state = 'settled';
    record.result = result;
  }

  /** Returns the outcome of the call of a key, as far as this incarnation knows. */
  lookup({ tenant, key }: TenantKey, now: Milliseconds): KeyedOutcome {
    const refusal = this.#checkKey(tenant, key, now);
    if (refusal !== undefined) return { outcome: refusal, body: '' };
    const record = this.#records.get(key);
    if (record !== undefined) return record.result;
    return NOT_BEGUN;
  }

  /** Prevents the call of a key for good unless it has begun; returns the outcome of the call. */
  revoke({ tenant, key }: TenantKey, now: Milliseconds): KeyedOutcome {
    this.#removeExpired(now);
    const refusal = this.#checkKey(tenant, key, now);
    if (refusal !== undefined) return { outcome: refusal, body: '' };
    const record = this.#records.get(key);
    if (record !== undefined) return record.result;
    if (this.#records.size >= this.#options.capacity) return NOT_REVOKED;
    this.#addRecord(key, { callDigest: '', state: 'revoked', result: REVOKED });
    return REVOKED;
  }

  #addRecord(key: string, record: Omit<KeyRecord, 'expiresAt'>): void {
    const expiresAt = parseKey(key)?.expiresAt ?? 0;
    this.#records.set(key, { ...record, expiresAt });
  }

  #checkKey(tenant: string, key: string, now: Milliseconds): Outcome | undefined {
    const parts = parseKey(key);
    if (parts === undefined || parts.host !== this.#options.host) {
      return notRun(
        'bad-request',
        'this is not a key of this service; get one from its keys endpoint',
      );
    }
    if (parts.incarnation !== this.#options.incarnation) {
      return unknown(
        'restarted',
        'the key is older than the last restart; check whether its call ran',
      );
    }
    if (!isKeySigned(key, this.#options.secret, tenant)) {
      const remedy = "get one from the service's keys endpoint";
      return notRun('bad-request', `the key is forged or another tenant's; ${remedy}`);
    }
    if (parts.expiresAt <= now) {
      return unknown('key-expired', 'the key has expired; check whether its call ran');
    }
    return undefined;
  }

  /** Removes expired records, except those of calls that are still running. */
  #removeExpired(now: Milliseconds): void {
    for (const [key, record] of this.#records) {
      if (record.expiresAt > now) return;
      if (record.state !== 'running') this.#records.delete(key);
    }
  }
}
