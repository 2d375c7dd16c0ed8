import { createVirtualClock } from '../../core/clock/mod.ts';
import type { VirtualClock } from '../../core/clock/mod.ts';
import { SimulatedEngine, WeightStore } from '../../standins/mod.ts';
import { DEFAULT_OFFERED_LOAD } from './cases.ts';
import type { PolicyCase } from './cases.ts';
import { RATE_LIMITERS } from './contenders.ts';
import type { Contender } from './contenders.ts';
import type { Deployment } from './deployment.ts';
import { MeasureRecorder } from './measures.ts';
import type { EngineWork, PolicyMeasures } from './measures.ts';
import { SimulatedEntry, REQUEST_TIMEOUT_MS } from './simulatedEntry.ts';
import { SimulatedServer } from './simulatedServer.ts';
import {
  createRandomSource,
  createTrace,
  END_AT_MS,
  ENTRIES,
  EVENT_AT_MS,
  WARM_UP_MS,
} from './trace.ts';
import type { Arrival } from './trace.ts';

/** The parameters of one run. */
export type PolicyRun = {
  readonly deployment: Deployment;
  readonly policyCase: PolicyCase;
  readonly contender: Contender;
  readonly seed: number;
};

const REPORT_INTERVAL_MS = 250;

const TICK_INTERVAL_MS = 50;

/** Maximum number of wanted adapter versions in a report. */
const MAX_WANTED = 16;

const BASE_STEP_MS = 20;

/** Time after the last arrival for open requests to end. */
const DRAIN_MS = REQUEST_TIMEOUT_MS + 5000;

/** Upper bound on the chained promise callbacks that one event triggers. */
const MAX_PROMISE_CHAIN = 12;

async function flushPromises(): Promise<void> {
  for (let depth = 0; depth < MAX_PROMISE_CHAIN; depth += 1) await undefined;
}

/** Creates the requests of a run; the contender does not affect them. */
export function createRunTrace(
  run: Pick<PolicyRun, 'deployment' | 'policyCase' | 'seed'>,
): readonly Arrival[] {
  const { deployment, policyCase, seed } = run;
  const {
    burstRequests = 0,
    offeredLoad = DEFAULT_OFFERED_LOAD,
    shiftsPopularity = false,
  } = policyCase;
  const ratePerSecond = deployment.capacityPerSecond * offeredLoad;
  return createTrace({ deployment, seed, ratePerSecond, shiftsPopularity, burstRequests });
}

class PolicySimulation {
  readonly #run: PolicyRun;

  readonly #clock: VirtualClock = createVirtualClock();

  readonly #store: WeightStore;

  readonly #recorder = new MeasureRecorder();

  readonly #servers: readonly SimulatedServer[];

  readonly #entries: readonly SimulatedEntry[];

  constructor(run: PolicyRun) {
    this.#run = run;
    const { deployment } = run;
    const { loadsPerSecond, loadsAtOnce } = deployment;
    this.#store = new WeightStore({ clock: this.#clock, loadsPerSecond, loadsAtOnce });
    this.#servers = Array.from({ length: deployment.engines }, (_, index) =>
      this.#createServer(index),
    );
    this.#entries = Array.from({ length: ENTRIES }, (_, index) => this.#createEntry(index));
  }

  async measure(): Promise<PolicyMeasures> {
    this.#schedule();
    await this.#advance(WARM_UP_MS);
    const before = this.#totalWork();
    await this.#advance(END_AT_MS);
    const after = this.#totalWork();
    await this.#advance(END_AT_MS + DRAIN_MS);
    const work = {
      steps: after.steps - before.steps,
      sequences: after.sequences - before.sequences,
      adapters: after.adapters - before.adapters,
    };
    return this.#recorder.summarize(work, this.#run.deployment.batchWidth);
  }

  #createServer(index: number): SimulatedServer {
    const { deployment, policyCase, contender } = this.#run;
    const { slots, batchWidth, fullSpeedInFlight } = deployment;
    const { stepTimeFactors = [1] } = policyCase;
    const factor = stepTimeFactors[index % stepTimeFactors.length] ?? 1;
    const engine = new SimulatedEngine({
      clock: this.#clock,
      store: this.#store,
      slots,
      batchWidth,
      fullSpeedInFlight,
      stepMs: BASE_STEP_MS * factor,
      stepMsPerSequence: 0.5 * factor,
      generateToken: () => '',
    });
    const loadRate = RATE_LIMITERS[contender.rateLimiter](deployment);
    return new SimulatedServer({
      clock: this.#clock,
      name: `e${index}`,
      availabilityZone: index % deployment.availabilityZones,
      engine,
      schedulerOptions: { slots, batchWidth, loadRate, ...contender.schedulerOptions },
      onLoad: (isWasted) => this.#countLoad(isWasted),
    });
  }

  #countLoad(isWasted: boolean): void {
    if (this.#clock.now() < WARM_UP_MS) return;
    if (isWasted) this.#recorder.wastedLoads += 1;
    else this.#recorder.loads += 1;
  }

  #createEntry(index: number): SimulatedEntry {
    const { deployment, contender, seed } = this.#run;
    const zone = index % deployment.availabilityZones;
    return new SimulatedEntry({
      clock: this.#clock,
      route: contender.route(deployment.policy),
      servers: this.#servers,
      nextRandom: createRandomSource(seed * ENTRIES + index + 1),
      recorder: this.#recorder,
      measuredFrom: WARM_UP_MS,
      canReach: (server) => !this.#isPartitioned() || server.availabilityZone % ENTRIES === zone,
      delayMs: (server) => (server.availabilityZone === zone ? 0 : deployment.crossZoneDelayMs),
    });
  }

  #isPartitioned(): boolean {
    const { partitionMs = 0 } = this.#run.policyCase;
    const now = this.#clock.now();
    return now >= EVENT_AT_MS && now < EVENT_AT_MS + partitionMs;
  }

  #schedule(): void {
    createRunTrace(this.#run).forEach((arrival) => {
      this.#clock.schedule(arrival.at, () => this.#entries[arrival.entry]!.accept(arrival));
    });
    this.#clock.schedule(EVENT_AT_MS, () => this.#applyEvent());
    this.#servers.forEach((server) => this.#tick(server));
    this.#servers.forEach((server) => this.#report(server));
  }

  #applyEvent(): void {
    const { restartsEngine = false, failEveryNthLoad = 0, loadSlowdown = 1 } = this.#run.policyCase;
    this.#store.failEvery(failEveryNthLoad);
    this.#store.slowDown(loadSlowdown);
    if (restartsEngine) this.#servers[0]!.restart();
  }

  #tick(server: SimulatedServer): void {
    server.tick();
    this.#clock.schedule(TICK_INTERVAL_MS, () => this.#tick(server));
  }

  #report(server: SimulatedServer): void {
    const { policyCase, deployment } = this.#run;
    const { running, waiting, resident, freeSlots } = server.scheduler;
    const { batchWidth } = deployment;
    const wanted = server.scheduler.wanted(MAX_WANTED);
    const displacedUses = server.scheduler.displacedUses(this.#clock.now());
    const load = { running, waiting, batchWidth, resident, wanted, freeSlots, displacedUses };
    const report = { host: server.name, ...load };
    const { reportDelayMs = 1 } = policyCase;
    this.#clock.schedule(reportDelayMs, () =>
      this.#entries.forEach((entry) => entry.applyReport(report)),
    );
    this.#clock.schedule(REPORT_INTERVAL_MS, () => this.#report(server));
  }

  #totalWork(): EngineWork {
    return this.#servers
      .map(({ engine }) => engine.stepTotals)
      .reduce((a, b) => ({
        steps: a.steps + b.steps,
        sequences: a.sequences + b.sequences,
        adapters: a.adapters + b.adapters,
      }));
  }

  async #advance(until: number): Promise<void> {
    for (;;) {
      const due = this.#clock.nextDue();
      if (due === undefined || due > until) break;
      this.#clock.runNext();
      if (this.#servers.some(({ awaitsReply }) => awaitsReply)) await flushPromises();
    }
    this.#clock.advanceTo(until);
  }
}

/**
 * Simulates one contender in one case on a virtual clock.
 *
 * @param run The parameters; equal parameters give equal results.
 * @returns The results for requests that arrive after the warm-up.
 */
export function simulatePolicy(run: PolicyRun): Promise<PolicyMeasures> {
  return new PolicySimulation(run).measure();
}
