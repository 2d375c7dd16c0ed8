import type { Milliseconds } from '../../core/clock/mod.ts';
import { SimulatedEngine, SimulatedService, WeightStore } from '../../standins/mod.ts';
import type { CallerRequest, EntryTask } from '../../tasks/entry/mod.ts';
import type { Backend, SidecarTask } from '../../tasks/sidecar/mod.ts';
import { Observer } from '../observer/mod.ts';
import { VirtualWorld } from '../world/mod.ts';
import type { VirtualWorldOptions, WorldProcess } from '../world/mod.ts';
import { HostDirectory } from './_hostDirectory.ts';
import { observeEngine, observeService } from './_observedBackend.ts';
import type { OrderFaults } from './_observedBackend.ts';
import { TOKEN_SHA256, formatSet } from './_setText.ts';

/** How to build a `Session`. */
export type SessionOptions = Pick<VirtualWorldOptions, 'seed' | 'chooseFrameAction'>;

/** A backend server and its sidecar process. */
export type SessionSidecar = {
  readonly backend: Backend;
  readonly engine: SimulatedEngine | undefined;
  readonly service: SimulatedService | undefined;
  readonly faults: OrderFaults;
  process: WorldProcess<SidecarTask>;
};

/** Time within which the processes of a scenario must become ready. */
const READY_TIMEOUT_MS = 10_000;

/** Virtual time between two checks of the invariants. */
const CHECK_INTERVAL_MS = 50;

/** Adapter slots of each engine. */
export const SLOTS_PER_ENGINE = 2;

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name, value]) => value !== undefined && name !== 'digest')
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

/** One run of a scenario: its simulated system, processes, requests and journal. */
export class Session {
  readonly world: VirtualWorld;

  readonly observer: Observer;

  readonly directory: HostDirectory;

  readonly store: WeightStore;

  readonly entries = new Map<string, WorldProcess<EntryTask>>();

  readonly sidecars = new Map<string, SessionSidecar>();

  /** Paused processes by host; a host may have several incarnations. */
  readonly paused = new Map<string, WorldProcess<EntryTask | SidecarTask>[]>();

  /** Idempotency keys by the name of the request that minted or used them. */
  readonly keys = new Map<string, string>();

  /** Called after each step of the clock. */
  onStep: (() => void) | undefined;

  readonly #journal: string[] = [];

  /** Publications that a stale configuration service withholds; undefined when it is up to date. */
  #withheldPublications: (() => void)[] | undefined;

  constructor(options: SessionOptions = {}) {
    this.world = new VirtualWorld({
      ...options,
      onLog: (time, host, event, fields) => {
        if (event !== 'requestEnded') this.#write(time, `${host} ${event} ${formatFields(fields)}`);
      },
    });
    const { clock } = this.world;
    this.observer = new Observer(clock);
    this.store = new WeightStore({ clock, loadsPerSecond: 40, loadsAtOnce: 8, loadMs: 100 });
    this.directory = new HostDirectory(this.world);
  }

  /** Events so far, one per line, each with its virtual time. */
  get journal(): readonly string[] {
    return this.#journal;
  }

  /** Appends a line to the journal. */
  readonly record = (text: string): void => this.#write(this.world.clock.now(), text);

  /** Starts an entry process. */
  startEntry(host: string): void {
    this.entries.set(host, this.world.startEntry(host));
  }

  /** Adds an engine and starts its sidecar. */
  addEngine(host: string, honoursFencing: boolean): void {
    const { clock } = this.world;
    const engine = new SimulatedEngine({
      clock,
      store: this.store,
      slots: SLOTS_PER_ENGINE,
      honoursFencing,
    });
    const faults: OrderFaults = { lost: 0, executionDelayMs: 0 };
    const observed = observeEngine(engine, faults, this.#createObservation(host));
    this.#addSidecar(host, { kind: 'engine', engine: observed }, { engine, faults });
  }

  /** Adds a plain service and starts its sidecar. */
  addService(host: string): void {
    const service = new SimulatedService(this.world.clock);
    const observed = observeService(service, this.#createObservation(host));
    this.#addSidecar(host, { kind: 'service', service: observed }, { service });
  }

  /** Publishes a set with all backend servers added so far. */
  publish(generation: number, versions = '1', policy = 'load-stalls'): void {
    const sidecars = [...this.sidecars];
    const text = formatSet({
      engines: sidecars.filter(([, each]) => each.engine).map(([host]) => host),
      services: sidecars.filter(([, each]) => each.service).map(([host]) => host),
      slots: SLOTS_PER_ENGINE,
      versions,
      policy,
    });
    const apply = (): void => this.world.publish(generation, text);
    if (this.#withheldPublications === undefined) apply();
    else this.#withheldPublications.push(apply);
  }

  /** Makes the configuration service withhold new publications, or release those withheld. */
  setStale(stale: boolean): void {
    const withheld = this.#withheldPublications ?? [];
    this.#withheldPublications = stale ? withheld : undefined;
    if (!stale) withheld.forEach((apply) => apply());
  }

  /** Submits a request to an entry. */
  submit(name: string, entry: string, request: CallerRequest, timeoutMs: Milliseconds): void {
    const process = this.entries.get(entry);
    if (process === undefined) throw new Error(`entry "${entry}" does not exist; start it first`);
    if ('key' in request) this.keys.set(name, request.key);
    this.observer.recordSubmission({ name, entry, request, timeoutMs });
    process.task.submit({
      requestId: name,
      tokenSha256: TOKEN_SHA256,
      request,
      timeoutMs,
      onEvent: (event) => {
        this.observer.recordEvent(name, event);
        if (event.kind === 'started') this.record(`${entry} ${name} started at ${event.host}`);
        if (event.kind !== 'final') return;
        const { outcome, tokens } = event;
        const reason = outcome.kind === 'done' ? '' : ` ${outcome.reason}`;
        if (request.kind === 'mint-key' && outcome.kind === 'done') this.keys.set(name, event.body);
        this.record(`${entry} ${name} ${outcome.kind}${reason} tokens=${tokens}`);
      },
    });
  }

  /** Returns whether a request has its final outcome. */
  hasEnded(name: string): boolean {
    return this.observer.requests.get(name)?.outcome !== undefined;
  }

  /** Advances the clock and checks the invariants at regular intervals. */
  async advance(time: Milliseconds): Promise<void> {
    await this.advanceUntil(() => false, time);
  }

  /** Advances the clock until a condition holds; returns whether it held within the limit. */
  async advanceUntil(condition: () => boolean, limit: Milliseconds): Promise<boolean> {
    const target = this.world.clock.now() + limit;
    for (;;) {
      const { clock } = this.world;
      const end = Math.min(target, clock.now() + CHECK_INTERVAL_MS);
      const held = await this.world.advanceUntil(() => {
        this.onStep?.();
        return condition();
      }, end - clock.now());
      if (!held) clock.advanceTo(end);
      this.#checkInvariants();
      if (held || clock.now() >= target) return held || condition();
    }
  }

  /** Waits until every entry's links to all listed hosts are ready and have the entry's set. */
  async waitUntilReady(): Promise<boolean> {
    const count = this.directory.hosts.length;
    return this.advanceUntil(
      () =>
        [...this.entries.values()].every(({ task }) => {
          const { generation, links } = task.status();
          const ready = links.filter(
            ({ health, peerSet }) => health === 'ready' && peerSet.generation === generation,
          );
          return generation > 0 && ready.length === count;
        }),
      READY_TIMEOUT_MS,
    );
  }

  /** Returns whether an entry's latest incarnation is neither killed nor paused. */
  readonly isRunning = (entry: string): boolean => {
    const process = this.entries.get(entry);
    return process !== undefined && !process.gate.isKilled && !process.gate.isPaused;
  };

  #createObservation(host: string): Parameters<typeof observeService>[1] {
    return { host, clock: this.world.clock, observer: this.observer, record: this.record };
  }

  #addSidecar(
    host: string,
    backend: Backend,
    parts: Partial<Pick<SessionSidecar, 'engine' | 'service' | 'faults'>>,
  ): void {
    this.sidecars.set(host, {
      engine: undefined,
      service: undefined,
      faults: { lost: 0, executionDelayMs: 0 },
      ...parts,
      backend,
      process: this.world.startSidecar(host, backend),
    });
    this.directory.add(host);
  }

  #checkInvariants(): void {
    const processes = [
      ...this.entries.values(),
      ...[...this.sidecars.values()].map(({ process }) => process),
    ];
    processes.forEach(({ task, host, identity }) => {
      this.observer.recordGeneration(`${host} ${identity.incarnation}`, task.status().generation);
    });
    this.observer.checkTimeouts(this.isRunning);
  }

  #write(time: Milliseconds, text: string): void {
    this.#journal.push(`${time.toFixed(1).padStart(9)} ${text.trim()}`);
  }
}
