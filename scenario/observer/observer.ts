import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { wholeAnswer } from '../../standins/mod.ts';
import type { OrderRecord } from '../../standins/mod.ts';
import type { CallerRequest, SubmissionEvent } from '../../tasks/entry/mod.ts';

/** What an observer remembers of a request. */
export type ObservedRequest = {
  readonly name: string;
  readonly entry: string;
  readonly request: CallerRequest;
  readonly submittedAt: Milliseconds;
  readonly timeoutMs: Milliseconds;
  /** The host that began to serve it; empty before. */
  host: string;
  text: string;
  outcome: Outcome | undefined;
  body: string;
  endedAt: Milliseconds | undefined;
};

/** How to build an `Observer`. */
export type ObserverOptions = {
  /** Time after the first evidence within which a leaving host may get new work. @default 3000 */
  readonly leavingMs?: Milliseconds;
  /** Time after a request's timeout by which it must have ended. @default 100 */
  readonly lateMs?: Milliseconds;
};

/** A graceful shutdown and the requests that it must not cut. */
type Shutdown = { readonly host: string; readonly requests: readonly ObservedRequest[] };

type Clockless = { readonly now: () => Milliseconds };

/** Notes all that happens in a scenario and checks the invariants of the product on it. */
export class Observer {
  readonly #clock: Clockless;

  readonly #options: Required<ObserverOptions>;

  readonly #requests = new Map<string, ObservedRequest>();

  /** Requests by prompt that an engine has accepted. */
  readonly #ran = new Set<string>();

  readonly #effects: string[] = [];

  readonly #generations = new Map<string, number>();

  readonly #leavingSince = new Map<string, Milliseconds>();

  readonly #disturbed = new Set<string>();

  readonly #shutdowns: Shutdown[] = [];

  readonly #violations = new Set<string>();

  constructor(clock: Clockless, options: ObserverOptions = {}) {
    this.#clock = clock;
    this.#options = { leavingMs: 3000, lateMs: 100, ...options };
  }

  /** Requests by name. */
  get requests(): ReadonlyMap<string, ObservedRequest> {
    return this.#requests;
  }

  /** The bodies of service calls that took effect. */
  get effects(): readonly string[] {
    return this.#effects;
  }

  /** Invariants broken so far. */
  get violations(): readonly string[] {
    return [...this.#violations];
  }

  /** Notes a request; its events go to `told`. */
  submitted(facts: Pick<ObservedRequest, 'name' | 'entry' | 'request' | 'timeoutMs'>): void {
    this.#requests.set(facts.name, {
      ...facts,
      submittedAt: this.#clock.now(),
      host: '',
      text: '',
      outcome: undefined,
      body: '',
      endedAt: undefined,
    });
  }

  /** Notes what a caller was told of a request. */
  told(name: string, event: SubmissionEvent): void {
    const request = this.#requests.get(name);
    if (request === undefined) return;
    if (request.outcome !== undefined) {
      this.#violate(`request ${name} was told "${event.kind}" after its final outcome`);
      return;
    }
    if (event.kind === 'started') request.host = event.host;
    if (event.kind === 'chunk') request.text += event.text;
    if (event.kind === 'final') {
      request.outcome = event.outcome;
      request.body = event.body;
      request.endedAt = this.#clock.now();
    }
    this.#checkAnswer(request);
  }

  /** Notes that an engine accepted a completion. */
  ran(host: string, prompt: string): void {
    this.#ran.add(prompt);
    this.#checkNewWork(host, this.#requests.get(prompt));
  }

  /** Notes that a service call took effect. */
  tookEffect(host: string, body: string): void {
    this.#effects.push(body);
    const first = this.#callsOf(body)[0];
    this.#checkNewWork(host, first);
  }

  /** Notes an order that an engine has judged. */
  ordered(host: string, { order, reply, inUse }: OrderRecord): void {
    if (order.kind === 'unload' && reply === 'obeyed' && inUse > 0) {
      this.#violate(`${host} evicted ${order.adapterVersion}, which served ${inUse} requests`);
    }
  }

  /** Notes the generation in force in one process. */
  sawGeneration(process: string, generation: number): void {
    const known = this.#generations.get(process) ?? 0;
    if (generation < known) {
      this.#violate(`the generation of ${process} went from ${known} down to ${generation}`);
    }
    this.#generations.set(process, Math.max(known, generation));
  }

  /** Notes evidence that a host leaves. */
  sawLeaving(host: string): void {
    if (!this.#leavingSince.has(host)) this.#leavingSince.set(host, this.#clock.now());
  }

  /** Notes that a host is live again. */
  sawReturn(host: string): void {
    this.#leavingSince.delete(host);
  }

  /** Notes a fault other than a shutdown, which may cut requests in flight. */
  disturbed(...hosts: readonly string[]): void {
    hosts.forEach((host) => this.#disturbed.add(host));
  }

  /** Notes that a host was told to shut down with its requests in flight. */
  shuttingDown(host: string): void {
    this.sawLeaving(host);
    const requests = [...this.#requests.values()].filter(
      (request) =>
        request.outcome === undefined && (request.host === host || request.entry === host),
    );
    this.#shutdowns.push({ host, requests });
  }

  /** Checks requests that must have ended, given the entries that run. */
  checkTimeouts(runs: (entry: string) => boolean): void {
    const now = this.#clock.now();
    for (const { name, entry, submittedAt, timeoutMs, outcome } of this.#requests.values()) {
      const late = now - submittedAt - timeoutMs;
      if (outcome === undefined && runs(entry) && late > this.#options.lateMs) {
        this.#violate(
          `request ${name} has no outcome ${this.#options.lateMs} ms after its timeout`,
        );
      }
    }
  }

  /** Checks what can only be told at the end of a scenario. */
  finish(runs: (entry: string) => boolean): readonly string[] {
    for (const request of this.#requests.values()) {
      this.#checkNotRun(request);
      if (request.outcome === undefined && runs(request.entry)) {
        this.#violate(`request ${request.name} has no outcome at the end`);
      }
    }
    this.#checkEffects();
    this.#shutdowns.forEach((shutdown) => this.#checkShutdown(shutdown));
    return this.violations;
  }

  #violate(detail: string): void {
    this.#violations.add(detail);
  }

  #checkAnswer({ name, request, text, outcome }: ObservedRequest): void {
    if (request.kind !== 'completion') return;
    const whole = wholeAnswer(request.model, request.prompt, request.maxTokens);
    if (!whole.startsWith(text)) {
      this.#violate(`request ${name} was told text that is not its answer: ${text}`);
    }
    if (outcome?.kind === 'done' && text !== whole) {
      this.#violate(`request ${name} ended as done without its whole answer`);
    }
  }

  #checkNotRun({ name, request, outcome }: ObservedRequest): void {
    if (outcome?.kind !== 'not-run') return;
    if (request.kind === 'completion' && this.#ran.has(request.prompt)) {
      this.#violate(`request ${name} was reported as not run (${outcome.reason}), but ran`);
    }
    if (request.kind === 'completion' || request.kind === 'mint-key') return;
    if (!this.#mayHaveEffect(request.key) && this.#effectsOf(request.key) > 0) {
      this.#violate(`request ${name} was reported as not run, but its key took effect`);
    }
    if (request.kind !== 'service-call' && this.#effectsOf(request.key) > 0) {
      this.#violate(`request ${name} reported a call as not run that took effect`);
    }
  }

  #checkEffects(): void {
    const counts = new Map<string, number>();
    this.#effects.forEach((body) => counts.set(body, (counts.get(body) ?? 0) + 1));
    for (const [body, count] of counts) {
      if (count > 1) this.#violate(`the call "${body}" took effect ${count} times`);
    }
  }

  #checkShutdown({ host, requests }: Shutdown): void {
    for (const { name, entry, host: servedBy, outcome } of requests) {
      const isDisturbed = [host, entry, servedBy].some((each) => this.#disturbed.has(each));
      if (!isDisturbed && outcome?.kind !== 'done') {
        this.#violate(`the shutdown of ${host} cut request ${name}: ${outcome?.kind ?? 'open'}`);
      }
    }
  }

  #checkNewWork(host: string, request: ObservedRequest | undefined): void {
    const since = this.#leavingSince.get(host);
    if (since === undefined || request === undefined) return;
    const late = request.submittedAt - since;
    if (late > this.#options.leavingMs) {
      this.#violate(`${host} got request ${request.name} ${late} ms after it began to leave`);
    }
  }

  #callsOf(body: string): readonly ObservedRequest[] {
    return [...this.#requests.values()].filter(
      ({ request }) => request.kind === 'service-call' && request.body === body,
    );
  }

  /** Counts effects of the calls that bear a key; each key has a body of its own. */
  #effectsOf(key: string): number {
    const calls = [...this.#requests.values()].filter(
      ({ request }) => request.kind === 'service-call' && request.key === key,
    );
    const bodies = new Set(
      calls.map(({ request }) => (request.kind === 'service-call' ? request.body : '')),
    );
    return this.#effects.filter((body) => bodies.has(body)).length;
  }

  /** Tells whether some call of a key ended otherwise than as not run. */
  #mayHaveEffect(key: string): boolean {
    return [...this.#requests.values()].some(
      ({ request, outcome }) =>
        request.kind === 'service-call' && request.key === key && outcome?.kind !== 'not-run',
    );
  }
}
