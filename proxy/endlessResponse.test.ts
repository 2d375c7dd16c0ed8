import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import {
  ENDLESS_BODY,
  ENDLESS_RESPONSES,
  MAX_WRITTEN_BYTES,
  startEndlessServer,
} from '../transport/testing/endlessServer.ts';
import type { EndlessResponse, EndlessServer } from '../transport/testing/endlessServer.ts';
import { BackendConnections } from './mod.ts';

describe('a backend server that goes on sending without end', () => {
  let server: EndlessServer;
  let connections: BackendConnections;

  async function start(response: EndlessResponse): Promise<void> {
    server = await startEndlessServer(response);
    connections = new BackendConnections({ address: server.address });
  }

  afterEach(() => {
    connections.close();
    server.close();
  });

  /** Sends a request whose response body is read, or not. */
  function send(isReader: boolean): Promise<'end' | 'failed'> {
    const request = { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
    return new Promise((resolve) => {
      connections.send(
        { ...request, needsRecentConnection: false },
        {
          head: () => true,
          data: () => isReader,
          end: () => resolve('end'),
          failed: () => resolve('failed'),
        },
      );
    });
  }

  // Guards against keeping all that a faulty server sends, until the process runs out of memory.
  Object.entries(ENDLESS_RESPONSES).forEach(([name, response]) => {
    it(`has its connection closed, and little of it kept (${name})`, async () => {
      await start(response);
      const end = await send(true);
      expect(end).to.equal(name === 'bytes after the body' ? 'end' : 'failed');
      expect(await server.written).to.be.below(MAX_WRITTEN_BYTES);
    });
  });

  it('is not read further than its caller reads (a body)', async () => {
    await start(ENDLESS_BODY);
    const bytesBefore = process.memoryUsage().external;
    expect(await Promise.race([send(false), sleep(500, 'open')])).to.equal('open');
    expect(process.memoryUsage().external - bytesBefore).to.be.below(MAX_WRITTEN_BYTES);
  });
});
