import type { ListedHost } from '../core/membership/mod.ts';
import type { PackedValue } from '../core/set/mod.ts';
import type { Settings } from '../settings/mod.ts';
import {
  SimulatedConfiguration,
  SimulatedEngine,
  serveEngine,
  servePlatform,
  serveService,
  SimulatedService,
  WeightStore,
} from '../standins/mod.ts';
import { realClock } from '../transport/mod.ts';

/** Running stand-ins for the services that one deployment depends on. */
export type RunningStandins = {
  readonly configuration: SimulatedConfiguration;
  /** Replaces the platform's host list. */
  readonly setHosts: (hosts: readonly ListedHost[]) => void;
  readonly service: SimulatedService;
  readonly platformPort: number;
  readonly enginePorts: readonly number[];
  readonly servicePort: number;
  readonly stop: () => Promise<void>;
};

/**
 * Starts stand-ins for the platform, the engines and the service of one deployment.
 *
 * @param settings Checked settings.
 * @param values Initial values of the configuration service.
 */
export async function startStandins(
  settings: Settings<'standins'>,
  values: readonly PackedValue[] = [],
): Promise<RunningStandins> {
  const clock = realClock;
  const configuration = new SimulatedConfiguration(clock);
  const list = {
    hosts: Object.entries(settings.hosts).map(([host, facts]): ListedHost => ({
      host,
      ...facts,
      state: 'live',
    })),
  };
  const store = new WeightStore({
    clock,
    loadsPerSecond: settings.store.loads_per_second,
    loadsAtOnce: settings.store.loads_at_once,
  });
  const { slots, batch_width: batchWidth, step_time: stepMs } = settings.engines;
  const stepMsPerSequence = settings.engines.sequence_microseconds / 1000;
  const engines = await Promise.all(
    settings.engines.listen.map((address) =>
      serveEngine(
        new SimulatedEngine({ clock, store, slots, batchWidth, stepMs, stepMsPerSequence }),
        address,
      ),
    ),
  );
  const service = new SimulatedService(clock);
  const serviceListener = await serveService(service, settings.service.listen);
  values.forEach(({ name, text }) => configuration.put(name, text));
  const platform = await servePlatform(configuration, list, settings.platform.listen);
  return {
    configuration,
    service,
    setHosts: (hosts) => {
      list.hosts = [...hosts];
    },
    platformPort: platform.port,
    enginePorts: engines.map((engine) => engine.port),
    servicePort: serviceListener.port,
    stop: async () => {
      configuration.close();
      await Promise.all([...engines, serviceListener, platform].map((each) => each.abort()));
    },
  };
}
