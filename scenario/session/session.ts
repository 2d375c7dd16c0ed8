import type { Milliseconds } from '../../core/clock/mod.ts';
import { EngineModel, ServiceModel, WeightStore } from '../../standins/mod.ts';
import type { CallerRequest, EntryTask } from '../../tasks/entry/mod.ts';
import type { Backend, SidecarTask } from '../../tasks/sidecar/mod.ts';
import { Observer } from '../observer/mod.ts';
import { VirtualWorld } from '../world/mod.ts';
import type { VirtualWorldOptions, WorldProcess } from '../world/mod.ts';
import { HostDirectory } from './_hostDirectory.ts';
import { observeEngine, observeService } from './_observedBackend.ts';
import type { OrderFaults } from './_observedBackend.ts';
import { TOKEN_SHA256, writeSet } from './_setText.ts';

/** How to build a `Session`. */
export type SessionOptions = Pick<VirtualWorldOptions, 'seed' | 'treat'>;

/** A backend server and the process beside it. */
export type SessionSidecar = {
  readonly backend: Backend;
  readonly engine: EngineModel | undefined;
  readonly service: ServiceModel | undefined;
  readonly faults: OrderFaults;
  process: WorldProcess<SidecarTask>;
};

/** Time in which the processes of a scenario must get ready. */
const READY_WITHIN_MS = 10_000;

/** Time between the checks that hold at all times. */
const SAMPLE_MS = 50;

/** Slots of each engine. */
export const SLOTS = 2;

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name, value]) => value !== undefined && name !== 'digest')
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

/** A running scenario: its world, processes, requests and journal. */
export class Session {
  readonly world: VirtualWorld;

  readonly observer: Observer;

  readonly directory: HostDirectory;

  readonly store: WeightStore;

  readonly entries = new Map<string, WorldProcess<EntryTask>>();

  readonly sidecars = new Map<string, SessionSidecar>();

  /** Paused processes by host; a host may have several incarnations. */
  readonly paused = new Map<string, WorldProcess<EntryTask | SidecarTask>[]>();

  /** Keys by the request that minted or used them. */
  readonly keys = new Map<string, string>();

  /** Called after each step of the clock. */
  onStep: (() => void) | undefined;

  readonly #journal: string[] = [];

  /** Published sets that a stale configuration service does not show yet. */
  #withheld: (() => void)[] | undefined;

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

  /** What has happened so far, one event a line, each with its virtual time. */
  get journal(): readonly string[] {
    return this.#journal;
  }

  /** Writes a line of the journal. */
  readonly note = (text: string): void => this.#write(this.world.clock.now(), text);

  /** Starts an entry. */
  startEntry(host: string): void {
    this.entries.set(host, this.world.startEntry(host));
  }

  /** Adds an engine and starts the sidecar beside it. */
  addEngine(host: string, honoursFencing: boolean): void {
    const { clock } = this.world;
    const engine = new EngineModel({ clock, store: this.store, slots: SLOTS, honoursFencing });
    const faults: OrderFaults = { lost: 0, lateMs: 0 };
    const observed = observeEngine(engine, faults, this.#watch(host));
    this.#addSidecar(host, { kind: 'engine', engine: observed }, { engine, faults });
  }

  /** Adds a plain service and starts the sidecar beside it. */
  addService(host: string): void {
    const service = new ServiceModel(this.world.clock);
    const observed = observeService(service, this.#watch(host));
    this.#addSidecar(host, { kind: 'service', service: observed }, { service });
  }

  /** Publishes a set of all backend servers. */
  publish(generation: number, versions = '1', policy = 'load-stalls'): void {
    const named = [...this.sidecars];
    const text = writeSet({
      engines: named.filter(([, each]) => each.engine).map(([host]) => host),
      services: named.filter(([, each]) => each.service).map(([host]) => host),
      slots: SLOTS,
      versions,
      policy,
    });
    const put = (): void => this.world.publish(generation, text);
    if (this.#withheld === undefined) put();
    else this.#withheld.push(put);
  }

  /** Lets the configuration service show what it has, or withhold what is published. */
  setStale(stale: boolean): void {
    const withheld = this.#withheld ?? [];
    this.#withheld = stale ? withheld : undefined;
    if (!stale) withheld.forEach((put) => put());
  }

  /** Submits a request. */
  submit(name: string, entry: string, request: CallerRequest, timeoutMs: Milliseconds): void {
    const process = this.entries.get(entry);
    if (process === undefined) throw new Error(`there is no entry "${entry}"; start it first`);
    if ('key' in request) this.keys.set(name, request.key);
    this.observer.submitted({ name, entry, request, timeoutMs });
    process.task.submit({
      requestId: name,
      tokenSha256: TOKEN_SHA256,
      request,
      timeoutMs,
      onEvent: (event) => {
        this.observer.told(name, event);
        if (event.kind === 'started') this.note(`${entry} ${name} started at ${event.host}`);
        if (event.kind !== 'final') return;
        const { outcome, tokens } = event;
        const reason = outcome.kind === 'done' ? '' : ` ${outcome.reason}`;
        if (request.kind === 'mint-key' && outcome.kind === 'done') this.keys.set(name, event.body);
        this.note(`${entry} ${name} ${outcome.kind}${reason} tokens=${tokens}`);
      },
    });
  }

  /** Tells whether a request has its final outcome. */
  hasEnded(name: string): boolean {
    return this.observer.requests.get(name)?.outcome !== undefined;
  }

  /** Lets time pass, checking all that must hold at all times. */
  async advance(time: Milliseconds): Promise<void> {
    await this.advanceUntil(() => false, time);
  }

  /** Lets time pass until a condition holds; returns whether it held within the limit. */
  async advanceUntil(condition: () => boolean, limit: Milliseconds): Promise<boolean> {
    const target = this.world.clock.now() + limit;
    for (;;) {
      const { clock } = this.world;
      const end = Math.min(target, clock.now() + SAMPLE_MS);
      const held = await this.world.advanceUntil(() => {
        this.onStep?.();
        return condition();
      }, end - clock.now());
      if (!held) clock.moveTo(end);
      this.#sample();
      if (held || clock.now() >= target) return held || condition();
    }
  }

  /** Waits until each entry's links to all listed hosts are ready and hold its set. */
  async becomeReady(): Promise<boolean> {
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
      READY_WITHIN_MS,
    );
  }

  /** Tells whether an entry is neither killed nor replaced nor paused. */
  readonly runs = (entry: string): boolean => {
    const process = this.entries.get(entry);
    return process !== undefined && !process.gate.dead && !process.gate.paused;
  };

  #watch(host: string): Parameters<typeof observeService>[1] {
    return { host, clock: this.world.clock, observer: this.observer, note: this.note };
  }

  #addSidecar(
    host: string,
    backend: Backend,
    parts: Partial<Pick<SessionSidecar, 'engine' | 'service' | 'faults'>>,
  ): void {
    this.sidecars.set(host, {
      engine: undefined,
      service: undefined,
      faults: { lost: 0, lateMs: 0 },
      ...parts,
      backend,
      process: this.world.startSidecar(host, backend),
    });
    this.directory.add(host);
  }

  #sample(): void {
    const processes = [
      ...this.entries.values(),
      ...[...this.sidecars.values()].map(({ process }) => process),
    ];
    processes.forEach(({ task, host, identity }) => {
      this.observer.sawGeneration(`${host} ${identity.incarnation}`, task.status().generation);
    });
    this.observer.checkTimeouts(this.runs);
  }

  #write(time: Milliseconds, text: string): void {
    this.#journal.push(`${time.toFixed(1).padStart(9)} ${text.trim()}`);
  }
}
