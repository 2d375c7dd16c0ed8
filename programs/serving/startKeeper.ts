import type { Log } from '../../log/mod.ts';
import { Metrics } from '../../metrics/mod.ts';
import { EngineClient } from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { Keeper } from '../../tasks/keeper/mod.ts';
import { listenWebSocket, realClock } from '../../transport/mod.ts';
import { serveMetrics } from './serveMetrics.ts';
import type { Running } from './startGateway.ts';

/**
 * Starts the process beside an engine.
 *
 * @param metricsPort Where metrics are shown. @default a free port
 */
export async function startKeeper(
  settings: ProcessSettings,
  log: Log,
  metricsPort = 0,
): Promise<Running> {
  const { backendAddress } = settings;
  if (backendAddress === undefined) {
    throw new Error(
      'the settings name no backend server on this host; run the role beside engines',
    );
  }
  const metrics = new Metrics();
  const client = new EngineClient(backendAddress);
  const keeper = new Keeper({
    host: settings.host,
    engine: { report: () => client.report(), order: (order) => client.order(order) },
    clock: realClock,
    wallClock: Date.now,
    log,
    metrics,
  });
  const listener = await listenWebSocket(
    { ip: settings.ip, port: settings.linkPort },
    keeper.accept,
  );
  keeper.start();
  const closeMetrics = serveMetrics(settings.ip, metricsPort, metrics);
  return {
    callerPort: 0,
    // What a keeper needs of the settings can't change while it runs.
    applySettings: () => undefined,
    leave: async () => {
      closeMetrics();
      keeper.close();
      await listener.close();
      await client.close();
    },
  };
}
