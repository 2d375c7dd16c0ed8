import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Milliseconds } from '../../core/clock/mod.ts';
import { pauseProcess } from '../../transport/testing/pauseProcess.ts';

/** Options of `slowTurns`. */
export type SlowTurnsOptions = {
  /** How long each turn of the event loop is blocked while sockets are read. */
  readonly turnMs: Milliseconds;
  readonly turns: number;
};

/**
 * Blocks the event loop in each of its turns while it reads sockets, as on a host that is short of
 * processor time. Resolves after the last turn. For tests only.
 */
export async function slowTurns({ turnMs, turns }: SlowTurnsOptions): Promise<void> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  const sender = connect(port, '127.0.0.1');
  const [[receiver]] = await Promise.all([once(server, 'connection'), once(sender, 'connect')]);
  for (let turn = 0; turn < turns; turn += 1) {
    sender.write('.');
    await new Promise<void>((resolve) => {
      receiver.once('data', () => {
        pauseProcess(turnMs);
        resolve();
      });
    });
  }
  sender.destroy();
  receiver.destroy();
  server.close();
}
