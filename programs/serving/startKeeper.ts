import type { Log } from '../../log/mod.ts';
import { Metrics } from '../../metrics/mod.ts';
import { EngineClient } from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { Keeper } from '../../tasks/keeper/mod.ts';
import { listenWebSocket, realClock } from '../../transport/mod.ts';
import { serveMetrics } from './serveMetrics.ts';
import type { ServingProcess } from './startGateway.ts';

/**
 * Starts a keeper, the process next to an engine (role `sidecar`).
 *
 * @param metricsPort Port of the metrics endpoint. @default a free port
 */
export async function startKeeper(
  settings: ProcessSettings,
  log: Log,
  metricsPort = 0,
): Promise<ServingProcess> {
  const { backendAddress } = settings;
  if (backendAddress === undefined) {
    throw new Error(
      'the settings have no backend server (app) for this host; run the role sidecar only on hosts of engines',
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
    // The settings that a keeper uses can't change while it runs.
    applySettings: () => undefined,
    leave: async () => {
      closeMetrics();
      keeper.close();
      await listener.close();
      await client.close();
    },
  };
}
