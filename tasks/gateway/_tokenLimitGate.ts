import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Deployment, Tenant, TokenLimit } from '../../core/serving/mod.ts';
import type { LimitBounds, TokenDemand, TokenRefusal } from '../../core/tokenLimits/mod.ts';
import { limitLogRate } from '../../log/mod.ts';
import type { Log, LogFields } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { Dial } from '../ports/mod.ts';
import { BusyTenants } from './_busyTenants.ts';
import { tenantOf } from './_openRequest.ts';
import type { OpenRequest } from './_openRequest.ts';
import { TokenLimitTask } from './tokenLimitTask.ts';

/** Options of `TokenLimitGate`. */
export type TokenLimitGateOptions = {
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this entry among its peers. */
  readonly self: string;
  /** Returns the names of the other entries, or those of which there was a sign within a time. */
  readonly peers: (maxAgeMs?: Milliseconds) => readonly string[];
  /** Returns the capacity of an entry; 0 if it is unknown. @default always unknown */
  readonly capacityOf?: ((name: string) => number) | undefined;
  /** How strictly token limits bind; absent if they are not kept. */
  readonly tokenLimitBounds?: LimitBounds | undefined;
  /** Number of entries assumed until more are known. @default 1 */
  readonly minKnownEntries?: number | undefined;
  /** Returns the deployment in force. */
  readonly deployment: () => Deployment | undefined;
  /** Returns the age of the configuration in force. */
  readonly configurationAgeMs: () => Milliseconds;
  /** Chooses a server for a request and sends it. */
  readonly dispatch: (request: OpenRequest) => void;
  /** Refuses a request above its tenant's limit. */
  readonly refuse: (request: OpenRequest, retryAfterMs: Milliseconds, fields: LogFields) => void;
};

/** Longest time for which a request waits for the answer of an issuer. */
const MAX_WAIT_MS: Milliseconds = 1000;

/** Interval of the log of tenants above their limits. */
const LOG_INTERVAL_MS: Milliseconds = 5000;

type Charge = {
  readonly demand: TokenDemand;
  readonly waitUntil: Milliseconds;
  /** When the tokens were spent; `undefined` while the request waits. */
  spentAt: Milliseconds | undefined;
};

/** Returns the tokens that a request counts as. */
function tokensOf({ head }: OpenRequest, tenant: Tenant): number {
  const { promptTokens, maxOutputTokens } = head;
  if (promptTokens === undefined && maxOutputTokens === undefined) return tenant.defaultTokens;
  return (promptTokens ?? 0) + (maxOutputTokens ?? 0);
}

/** Keeps requests to the token limits of their tenants. Does nothing for tenants without a limit. */
export class TokenLimitGate {
  readonly #options: TokenLimitGateOptions;

  readonly task: TokenLimitTask;

  readonly #log: Log;

  readonly #busy = new BusyTenants();

  readonly #charges = new Map<OpenRequest, Charge>();

  /** Requests that wait for the answer of an issuer, by tenant. */
  readonly #waiting = new Map<string, Set<OpenRequest>>();

  #limits: ReadonlyMap<string, TokenLimit> = new Map();

  /** The deployment from which `#limits` are taken. */
  #limitsOf: Deployment | undefined;

  constructor(options: TokenLimitGateOptions) {
    const { log, clock, metrics } = options;
    this.#options = options;
    this.#log = limitLogRate(log, clock, LOG_INTERVAL_MS);
    this.task = new TokenLimitTask({
      ...options,
      bounds: options.tokenLimitBounds ?? { windowMs: 8000, overage: 0, slack: 0 },
      minKnown: options.minKnownEntries,
      limitOf: (tenant) => this.#limitOf(tenant),
      onAnswer: (tenant) => this.#retry(tenant),
    });
    metrics.gauge('issued_token_limits', () => this.task.issuedTenantCount);
  }

  /** Dispatches a request once its tokens are spent, or refuses it. */
  admit(request: OpenRequest): void {
    const tenant = tenantOf(request);
    const limit = tenant?.tokenLimit;
    const { clock, dispatch, tokenLimitBounds } = this.#options;
    if (tenant === undefined || limit === undefined || tokenLimitBounds === undefined) {
      dispatch(request);
      return;
    }
    const demand = {
      tenant: tenant.name,
      limit,
      tokens: tokensOf(request, tenant),
      priority: request.route.priority,
    };
    const charge = { demand, waitUntil: clock.now() + MAX_WAIT_MS, spentAt: undefined };
    this.#charges.set(request, charge);
    this.#decide(request, charge, false);
  }

  /** Records that a request is sent to a server; one that may have run before is charged again. */
  noteSent(request: OpenRequest): void {
    const charge = this.#charges.get(request);
    if (charge === undefined || request.mayHaveRunCount === 0) return;
    this.task.spendAgain(charge.demand);
    this.#count(charge, 'spent');
  }

  /** Forgets a request that has ended, and gives back its tokens if it did not run. */
  release(request: OpenRequest): void {
    const charge = this.#charges.get(request);
    if (charge === undefined) return;
    const { tenant, tokens } = charge.demand;
    this.#charges.delete(request);
    this.#waiting.get(tenant)?.delete(request);
    const hasRun = request.mayHaveRunCount > 0 || request.attempt !== undefined;
    if (hasRun || charge.spentAt === undefined) return;
    this.task.giveBack(tenant, tokens, charge.spentAt);
    this.#count(charge, 'given-back');
  }

  #limitOf(tenant: string): TokenLimit | undefined {
    const deployment = this.#options.deployment();
    if (deployment !== this.#limitsOf) {
      this.#limitsOf = deployment;
      const tenants = [...(deployment?.tenantsByKey?.values() ?? [])];
      this.#limits = new Map(
        tenants.flatMap(({ name, tokenLimit }) =>
          tokenLimit === undefined ? [] : [[name, tokenLimit] as const],
        ),
      );
    }
    return this.#limits.get(tenant);
  }

  #decide(request: OpenRequest, charge: Charge, isRepeated: boolean): void {
    const { clock, dispatch } = this.#options;
    const { demand, waitUntil } = charge;
    const now = clock.now();
    const decision = this.task.take({ ...demand, isRepeated });
    if (decision.kind === 'admitted') {
      charge.spentAt = now;
      this.#count(charge, 'spent');
      dispatch(request);
    } else if (decision.kind === 'refused') {
      this.#refuse(request, charge, decision);
    } else if (now >= waitUntil) {
      this.#refuse(request, charge, this.task.refuseWaiting(demand));
    } else {
      const waiting = this.#waiting.get(demand.tenant) ?? new Set();
      this.#waiting.set(demand.tenant, waiting.add(request));
    }
  }

  /** Decides again about the requests of a tenant that wait, the most urgent first. */
  #retry(tenant: string): void {
    const waiting = [...(this.#waiting.get(tenant) ?? [])];
    this.#waiting.delete(tenant);
    waiting
      .sort((a, b) => a.route.priority - b.route.priority || a.acceptedAt - b.acceptedAt)
      .forEach((request) => {
        const charge = this.#charges.get(request);
        if (charge !== undefined) this.#decide(request, charge, true);
      });
  }

  #refuse(request: OpenRequest, charge: Charge, { cause, retryAfterMs }: TokenRefusal): void {
    const { tenant, limit, tokens } = charge.demand;
    const use = this.task.uses().find((each) => each.tenant === tenant);
    this.#count(charge, 'refused');
    this.#options.metrics.count('token_refusals_total', { cause });
    this.#log('tokenLimitReached', {
      tenant,
      cause,
      limit: limit.perSecond,
      demand: Math.round(use?.demandPerSecond ?? 0),
      refusedTokens: Math.round(use?.refusedTokens ?? 0),
    });
    this.#options.refuse(request, retryAfterMs, {
      cause,
      limit: limit.perSecond,
      tokens,
      tokensLeft: Math.round(use?.heldTokens ?? 0),
      configurationAgeMs: Math.round(this.#options.configurationAgeMs()),
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  #count({ demand }: Charge, result: 'spent' | 'refused' | 'given-back'): void {
    const { metrics, clock } = this.#options;
    const tenant = this.#busy.labelOf(demand.tenant, demand.tokens, clock.now());
    metrics.count('tenant_tokens_total', { tenant, result }, demand.tokens);
  }
}
