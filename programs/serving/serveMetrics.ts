import polka from 'polka';
import type { Metrics } from '../../metrics/mod.ts';

/** Port of the metrics endpoint; must match deploy/system.toml. */
export const METRICS_PORT = 9464;

/**
 * Serves metrics as text at `/metrics`.
 *
 * @param port 0 selects a free port.
 * @returns A function that stops the server.
 */
export function serveMetrics(ip: string, port: number, metrics: Metrics): () => void {
  const app = polka().get('/metrics', (_request, response) => {
    response.setHeader('content-type', 'text/plain; charset=utf-8');
    response.end(metrics.format());
  });
  app.listen({ host: ip, port });
  return () => {
    app.server?.closeAllConnections();
    app.server?.close();
  };
}
