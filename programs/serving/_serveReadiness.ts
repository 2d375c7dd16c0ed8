import polka from 'polka';
import { READINESS_PATH } from '../../platform/mod.ts';
import type { SocketAddress } from '../../platform/mod.ts';
import { splitAddress } from './_splitAddress.ts';

const OK_STATUS = 200;

const NOT_READY_STATUS = 503;

/** Serves the readiness endpoint that the platform probes; returns a function that stops it. */
export function serveReadiness(address: SocketAddress, isReady: () => boolean): () => void {
  const app = polka().get(READINESS_PATH, (_request, response) => {
    response.statusCode = isReady() ? OK_STATUS : NOT_READY_STATUS;
    response.end();
  });
  const { ip, port } = splitAddress(address);
  app.listen({ host: ip, port });
  return () => app.server?.close();
}
