import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Deployment, Route } from '../../core/serving/mod.ts';
import { identifyCaller } from '../../core/tenants/mod.ts';
import type { CallerIdentity } from '../../core/tenants/mod.ts';
import type { Log, LogFields } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { RequestHeaders } from '../../platform/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

/** How long keys may be used that the configuration no longer contains, and when unknown ones are rejected. */
export type KeyPolicy = {
  /** Returns an upper bound for the age of the configuration in force. */
  readonly configurationAgeMs: () => Milliseconds;
  /** Time from the acknowledgement of a configuration until it must be in force. @default 2000 */
  readonly configurationDelayMs?: Milliseconds;
  /** Time within which withdrawn keys must no longer be used; absent if there is no such bound. */
  readonly keyWithdrawalMs?: Milliseconds | undefined;
};

/** Options of `CallerGate`. */
export type CallerGateOptions = KeyPolicy & {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the deployment in force. */
  readonly deployment: () => Deployment | undefined;
  /** Rejects a request that waited or ran elsewhere, and whose key is no longer known. */
  readonly reject: (request: OpenRequest) => void;
  /** Refuses a request while the configuration is too old. */
  readonly refuse: (request: OpenRequest) => void;
};

const DEFAULT_CONFIGURATION_DELAY_MS: Milliseconds = 2000;

/** Time between the check of a key and the start of the request on the server. */
const SENDING_MARGIN_MS: Milliseconds = 300;

/**
 * Age of the configuration up to which an unknown key is rejected, as a share of the time after which a
 * configuration must be in force: until then, nobody may rely on a key that was just added.
 */
const UNKNOWN_KEY_AGE_SHARE = 0.9;

/** Identifies callers by their keys, when a request is accepted and again at each sending. */
export class CallerGate {
  readonly #options: CallerGateOptions;

  #isStale = false;

  constructor(options: CallerGateOptions) {
    this.#options = options;
    options.metrics.gauge('configuration_age_ms', () => this.#loggedAgeMs ?? -1);
  }

  /** Logs when requests with keys can no longer be served, and when they can again. Call it several times a second. */
  tick(): void {
    const isStale = !this.canServeKeys;
    if (isStale === this.#isStale) return;
    this.#isStale = isStale;
    this.#options.log(
      isStale ? 'configurationStale' : 'configurationConfirmed',
      this.describeAge(),
    );
  }

  /** Returns the log fields that tell how old the configuration may be; none where there are no tenants. */
  describeAge(): LogFields {
    if (this.#options.deployment()?.tenantsByKey === undefined) return {};
    return { configurationAgeMs: this.#loggedAgeMs, maxAgeMs: this.maxAgeMs };
  }

  /** Age of the configuration; `undefined` if it was never confirmed. */
  get #loggedAgeMs(): Milliseconds | undefined {
    const ageMs = this.#options.configurationAgeMs();
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  /** Whether requests with keys can be served. */
  get canServeKeys(): boolean {
    if (this.#options.deployment()?.tenantsByKey === undefined) return true;
    const { maxAgeMs } = this;
    return maxAgeMs === undefined || this.#options.configurationAgeMs() <= maxAgeMs;
  }

  /** Age of the configuration above which no request with a key is served. */
  get maxAgeMs(): Milliseconds | undefined {
    const { keyWithdrawalMs } = this.#options;
    return keyWithdrawalMs === undefined ? undefined : keyWithdrawalMs - SENDING_MARGIN_MS;
  }

  /** Identifies the caller of a request. */
  identify(route: Route, head: Pick<RequestHeaders, 'keys'>): CallerIdentity {
    const { configurationAgeMs, configurationDelayMs = DEFAULT_CONFIGURATION_DELAY_MS } =
      this.#options;
    const identity = identifyCaller({
      deployment: this.#options.deployment() ?? {},
      route,
      keys: head.keys,
      configurationAgeMs: configurationAgeMs(),
      maxAgeMs: this.maxAgeMs,
      maxAgeForUnknownKeyMs: configurationDelayMs * UNKNOWN_KEY_AGE_SHARE,
    });
    if (identity.kind === 'unauthorized' || identity.kind === 'stale') {
      this.#options.metrics.count('callers_rejected_total', { reason: identity.kind });
    }
    return identity;
  }

  /**
   * Identifies the caller again right before the request is sent, since the key may have been withdrawn
   * while the request waited. Returns whether it may be sent; ends the request otherwise.
   */
  isAdmitted(request: OpenRequest): boolean {
    const identity = this.identify(request.route, request.head);
    if (identity.kind === 'unauthorized') this.#options.reject(request);
    else if (identity.kind === 'stale') this.#options.refuse(request);
    else request.identity = identity;
    return identity.kind !== 'unauthorized' && identity.kind !== 'stale';
  }
}
