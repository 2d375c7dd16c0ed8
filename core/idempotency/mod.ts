/** Idempotency keys, under which a call runs at most once. @module */
export { formatKey, isKeySigned, parseKey } from './key.ts';
export type { KeyParts } from './key.ts';
export { KeyLedger } from './ledger.ts';
export type { KeyedOutcome, KeyLedgerOptions, KeyVerdict, TenantKey } from './ledger.ts';
