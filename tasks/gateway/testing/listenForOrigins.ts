import { decodePeerMessage } from '../_peerMessages.ts';
import type { OriginTask } from '../originTask.ts';
import type { FakeNetwork } from './fakeNetwork.ts';

/** Has an entry on a virtual network handle what others tell and ask it about the origins of streams. */
export function listenForOrigins(
  network: FakeNetwork,
  name: string,
  task: Pick<OriginTask, 'handleMessage'>,
): void {
  network.listen(name, (connection) => ({
    opened: () => undefined,
    received: (bytes) => {
      const message = decodePeerMessage(bytes);
      if (
        message?.kind !== 'origins' &&
        message?.kind !== 'stream-origins' &&
        message?.kind !== 'origin-query'
      ) {
        return;
      }
      task.handleMessage(message, (reply) => connection.send(reply));
    },
    closed: () => undefined,
  }));
}
