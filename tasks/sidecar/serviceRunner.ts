import type { Clock } from '../../core/clock/mod.ts';
import type { ExchangeId } from '../../core/identity/mod.ts';
import { KeyLedger } from '../../core/idempotency/mod.ts';
import type { KeyedOutcome, KeyLedgerOptions } from '../../core/idempotency/mod.ts';
import type {
  Call,
  ExchangeEvent,
  LookupCall,
  MintCall,
  RevokeCall,
  ServiceCall,
} from '../../core/link/mod.ts';
import { DONE, failed, notRun, unknown } from '../../core/outcome/mod.ts';
import type { Log } from '../../log/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import type { PlainService, ServiceReply } from '../ports/mod.ts';

/** A call of a plain service, or a request about one of its idempotency keys. */
export type KeyedCall = MintCall | ServiceCall | LookupCall | RevokeCall;

/** The message in the sidecar's mailbox that carries a service's response. */
export type ServiceMessage = {
  readonly kind: 'service-reply';
  readonly key: string;
  readonly reply: ServiceReply;
};

/** Options of a `ServiceRunner`. */
export type ServiceRunnerOptions = {
  readonly clock: Clock;
  readonly service: PlainService;
  readonly ledger: KeyLedgerOptions;
  /** Posts a message to the sidecar's mailbox. */
  readonly post: (message: ServiceMessage) => void;
  readonly log: Log;
  readonly emit: (exchange: ExchangeId, event: ExchangeEvent) => void;
};

const RETRY_AFTER_MS = 500;

const FIRST_ERROR_STATUS = 400;

const REPLY_OUTCOMES: Handlers<ServiceReply, KeyedOutcome> = {
  answered: ({ status, body }) => ({
    outcome:
      status < FIRST_ERROR_STATUS
        ? DONE
        : failed('backend-error', `the service responded with status ${status}`),
    body,
  }),
  unreached: ({ detail }) => ({ outcome: notRun('unreachable', detail, RETRY_AFTER_MS), body: '' }),
  lost: ({ detail }) => ({ outcome: unknown('reply-lost', detail), body: '' }),
};

/** Tells whether a call is for a plain service. */
export function isKeyedCall(call: Call): call is KeyedCall {
  return call.kind !== 'completion';
}

/** Runs calls of one plain service, at most once per idempotency key. */
export class ServiceRunner {
  readonly #options: ServiceRunnerOptions;

  readonly #ledger: KeyLedger;

  /** Exchanges that wait for the result of a running call, by key. */
  readonly #waitingExchanges = new Map<string, ExchangeId[]>();

  constructor(options: ServiceRunnerOptions) {
    this.#options = options;
    this.#ledger = new KeyLedger(options.ledger);
  }

  /** Number of running calls. */
  get running(): number {
    return this.#waitingExchanges.size;
  }

  /** Runs a call. */
  run(exchange: ExchangeId, call: KeyedCall, deadline: number): void {
    const now = this.#options.clock.now();
    if (call.kind === 'service-call' && deadline <= now) {
      const outcome = notRun('deadline', 'the request arrived after its deadline', 0);
      this.#emitResult(exchange, { outcome, body: '' });
      return;
    }
    dispatch(this.#handlers(exchange), call);
  }

  /** Handles a response of the service. */
  handle(message: ServiceMessage): void {
    const result = dispatch(REPLY_OUTCOMES, message.reply);
    this.#ledger.settle(message.key, result);
    const exchanges = this.#waitingExchanges.get(message.key) ?? [];
    this.#waitingExchanges.delete(message.key);
    exchanges.forEach((exchange) => this.#emitResult(exchange, result));
  }

  #handlers(exchange: ExchangeId): Handlers<KeyedCall, void> {
    const now = this.#options.clock.now();
    return {
      'mint-key': ({ tenant }) =>
        this.#emitResult(exchange, { outcome: DONE, body: this.#ledger.mint(tenant, now) }),
      'service-call': (call) => this.#call(exchange, call),
      'lookup-key': (call) => this.#emitResult(exchange, this.#ledger.lookup(call, now)),
      'revoke-key': (call) => this.#emitResult(exchange, this.#ledger.revoke(call, now)),
    };
  }

  #call(exchange: ExchangeId, call: ServiceCall): void {
    const { key, body } = call;
    const verdict = this.#ledger.begin(
      call,
      `${call.tenant} ${body}`,
      this.#options.clock.now(),
      call.mayBegin,
    );
    if (verdict.kind === 'settled') {
      this.#emitResult(exchange, verdict);
      return;
    }
    const waiting = this.#waitingExchanges.get(key) ?? [];
    this.#waitingExchanges.set(key, [...waiting, exchange]);
    if (verdict.kind === 'running') return;
    this.#options.service
      .call(body)
      .then((reply) => this.#options.post({ kind: 'service-reply', key, reply }))
      .catch((error: unknown) => {
        const reply: ServiceReply = { kind: 'lost', detail: String(error) };
        this.#options.post({ kind: 'service-reply', key, reply });
      });
  }

  #emitResult(exchange: ExchangeId, result: KeyedOutcome): void {
    const { outcome, body } = result;
    if (outcome.kind === 'not-run' && outcome.reason === 'bad-request') {
      this.#options.log('keyRefused', { exchange });
    }
    this.#options.emit(exchange, { kind: 'final', outcome, tokens: 0, digest: '', body });
  }
}
