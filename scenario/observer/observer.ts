import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { completionText } from '../../standins/mod.ts';
import type { OrderRecord } from '../../standins/mod.ts';
import type { CallerRequest, SubmissionEvent } from '../../tasks/entry/mod.ts';

/** A request as an `Observer` records it. */
export type ObservedRequest = {
  readonly name: string;
  readonly entry: string;
  readonly request: CallerRequest;
  readonly submittedAt: Milliseconds;
  readonly timeoutMs: Milliseconds;
  /** The host that started to serve it; empty until then. */
  host: string;
  text: string;
  outcome: Outcome | undefined;
  body: string;
  endedAt: Milliseconds | undefined;
};

/** How to build an `Observer`. */
export type ObserverOptions = {
  /** Time for which a leaving host may still get new requests. @default 3000 */
  readonly leavingGraceMs?: Milliseconds;
  /** Time after its timeout within which a request must end. @default 100 */
  readonly timeoutToleranceMs?: Milliseconds;
};

/** A graceful shutdown and the requests in flight, which it must let finish. */
type Shutdown = { readonly host: string; readonly requests: readonly ObservedRequest[] };

type TimeSource = { readonly now: () => Milliseconds };

/** Records the events of a scenario and checks the product's invariants on them. */
export class Observer {
  readonly #clock: TimeSource;

  readonly #options: Required<ObserverOptions>;

  readonly #requests = new Map<string, ObservedRequest>();

  /** Prompts of the completions that an engine accepted. */
  readonly #acceptedPrompts = new Set<string>();

  readonly #effects: string[] = [];

  readonly #generations = new Map<string, number>();

  readonly #leavingSince = new Map<string, Milliseconds>();

  readonly #faultyHosts = new Set<string>();

  readonly #shutdowns: Shutdown[] = [];

  readonly #violations = new Set<string>();

  constructor(clock: TimeSource, options: ObserverOptions = {}) {
    this.#clock = clock;
    this.#options = { leavingGraceMs: 3000, timeoutToleranceMs: 100, ...options };
  }

  /** Requests by name. */
  get requests(): ReadonlyMap<string, ObservedRequest> {
    return this.#requests;
  }

  /** Bodies of the service calls that took effect, one per effect. */
  get effects(): readonly string[] {
    return this.#effects;
  }

  /** Descriptions of the violations found so far. */
  get violations(): readonly string[] {
    return [...this.#violations];
  }

  /** Records a submitted request; `recordEvent` takes its events. */
  recordSubmission(
    submission: Pick<ObservedRequest, 'name' | 'entry' | 'request' | 'timeoutMs'>,
  ): void {
    this.#requests.set(submission.name, {
      ...submission,
      submittedAt: this.#clock.now(),
      host: '',
      text: '',
      outcome: undefined,
      body: '',
      endedAt: undefined,
    });
  }

  /** Records an event of a request that its caller received. */
  recordEvent(name: string, event: SubmissionEvent): void {
    const request = this.#requests.get(name);
    if (request === undefined) return;
    if (request.outcome !== undefined) {
      this.#addViolation(`request ${name} got the event "${event.kind}" after its final outcome`);
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

  /** Records that an engine accepted a completion. */
  recordAcceptance(host: string, prompt: string): void {
    this.#acceptedPrompts.add(prompt);
    this.#checkNewWork(host, this.#requests.get(prompt));
  }

  /** Records that a service call took effect. */
  recordEffect(host: string, body: string): void {
    this.#effects.push(body);
    const first = this.#callsOf(body)[0];
    this.#checkNewWork(host, first);
  }

  /** Records an order and the engine's reply. */
  recordOrder(host: string, { order, reply, inUse }: OrderRecord): void {
    if (order.kind === 'unload' && reply === 'obeyed' && inUse > 0) {
      this.#addViolation(`${host} evicted ${order.adapterVersion}, which served ${inUse} requests`);
    }
  }

  /** Records the generation in force in one process. */
  recordGeneration(process: string, generation: number): void {
    const known = this.#generations.get(process) ?? 0;
    if (generation < known) {
      this.#addViolation(`the generation of ${process} went from ${known} down to ${generation}`);
    }
    this.#generations.set(process, Math.max(known, generation));
  }

  /** Records that a host is known to be leaving. */
  recordLeaving(host: string): void {
    if (!this.#leavingSince.has(host)) this.#leavingSince.set(host, this.#clock.now());
  }

  /** Records that a host is live again. */
  recordReturn(host: string): void {
    this.#leavingSince.delete(host);
  }

  /** Records a fault on these hosts, which allows their requests in flight to fail in a shutdown. */
  recordFault(...hosts: readonly string[]): void {
    hosts.forEach((host) => this.#faultyHosts.add(host));
  }

  /** Records the start of a host's graceful shutdown and its requests in flight. */
  recordShutdown(host: string): void {
    this.recordLeaving(host);
    const requests = [...this.#requests.values()].filter(
      (request) =>
        request.outcome === undefined && (request.host === host || request.entry === host),
    );
    this.#shutdowns.push({ host, requests });
  }

  /** Checks that requests of running entries ended by their timeouts. */
  checkTimeouts(isRunning: (entry: string) => boolean): void {
    const now = this.#clock.now();
    for (const { name, entry, submittedAt, timeoutMs, outcome } of this.#requests.values()) {
      const overdueMs = now - submittedAt - timeoutMs;
      if (
        outcome === undefined &&
        isRunning(entry) &&
        overdueMs > this.#options.timeoutToleranceMs
      ) {
        this.#addViolation(
          `request ${name} has no outcome ${this.#options.timeoutToleranceMs} ms after its timeout`,
        );
      }
    }
  }

  /** Checks the invariants that need a finished scenario; returns all violations. */
  finish(isRunning: (entry: string) => boolean): readonly string[] {
    for (const request of this.#requests.values()) {
      this.#checkNotRun(request);
      if (request.outcome === undefined && isRunning(request.entry)) {
        this.#addViolation(`request ${request.name} has no outcome at the end`);
      }
    }
    this.#checkEffects();
    this.#shutdowns.forEach((shutdown) => this.#checkShutdown(shutdown));
    return this.violations;
  }

  #addViolation(detail: string): void {
    this.#violations.add(detail);
  }

  #checkAnswer({ name, request, text, outcome }: ObservedRequest): void {
    if (request.kind !== 'completion') return;
    const expected = completionText(request.model, request.prompt, request.maxTokens);
    if (!expected.startsWith(text)) {
      this.#addViolation(`request ${name} got text that is not part of its answer: ${text}`);
    }
    if (outcome?.kind === 'done' && text !== expected) {
      this.#addViolation(`request ${name} ended as done without its complete answer`);
    }
  }

  #checkNotRun({ name, request, outcome }: ObservedRequest): void {
    if (outcome?.kind !== 'not-run') return;
    if (request.kind === 'completion' && this.#acceptedPrompts.has(request.prompt)) {
      this.#addViolation(`request ${name} was reported as not run (${outcome.reason}), but ran`);
    }
    if (request.kind === 'completion' || request.kind === 'mint-key') return;
    if (!this.#mayHaveEffect(request.key) && this.#effectsOf(request.key) > 0) {
      this.#addViolation(`request ${name} was reported as not run, but its key took effect`);
    }
    if (request.kind !== 'service-call' && this.#effectsOf(request.key) > 0) {
      this.#addViolation(
        `request ${name} reported that a call was not run, but the call took effect`,
      );
    }
  }

  #checkEffects(): void {
    const counts = new Map<string, number>();
    this.#effects.forEach((body) => counts.set(body, (counts.get(body) ?? 0) + 1));
    for (const [body, count] of counts) {
      if (count > 1) this.#addViolation(`the call "${body}" took effect ${count} times`);
    }
  }

  #checkShutdown({ host, requests }: Shutdown): void {
    for (const { name, entry, host: servedBy, outcome } of requests) {
      const hadFault = [host, entry, servedBy].some((each) => this.#faultyHosts.has(each));
      if (!hadFault && outcome?.kind !== 'done') {
        this.#addViolation(
          `the shutdown of ${host} interrupted request ${name}: ${outcome?.kind ?? 'open'}`,
        );
      }
    }
  }

  #checkNewWork(host: string, request: ObservedRequest | undefined): void {
    const since = this.#leavingSince.get(host);
    if (since === undefined || request === undefined) return;
    const delayMs = request.submittedAt - since;
    if (delayMs > this.#options.leavingGraceMs) {
      this.#addViolation(
        `${host} got request ${request.name} ${delayMs} ms after it started to leave`,
      );
    }
  }

  #callsOf(body: string): readonly ObservedRequest[] {
    return [...this.#requests.values()].filter(
      ({ request }) => request.kind === 'service-call' && request.body === body,
    );
  }

  /** Counts the effects of the calls with a key; the body of a call is unique to its key. */
  #effectsOf(key: string): number {
    const calls = [...this.#requests.values()].filter(
      ({ request }) => request.kind === 'service-call' && request.key === key,
    );
    const bodies = new Set(
      calls.map(({ request }) => (request.kind === 'service-call' ? request.body : '')),
    );
    return this.#effects.filter((body) => bodies.has(body)).length;
  }

  /** Returns whether any call with a key has an outcome other than `not-run`, or none yet. */
  #mayHaveEffect(key: string): boolean {
    return [...this.#requests.values()].some(
      ({ request, outcome }) =>
        request.kind === 'service-call' && request.key === key && outcome?.kind !== 'not-run',
    );
  }
}
