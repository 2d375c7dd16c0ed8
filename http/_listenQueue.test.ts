import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { RequestIntake } from './requestIntake.ts';

describe('RequestIntake on a server that accepts connections at once', () => {
  // Guards against an entry that connects to itself for each caller that comes alone.
  it('does not probe the listen queue', async () => {
    const server = createServer();
    const intake = new RequestIntake();
    intake.observe(server);
    let connections = 0;
    server.on('connection', () => {
      connections += 1;
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    for (let count = 0; count < 3; count += 1) {
      const caller = connect(port, '127.0.0.1');
      await once(caller, 'connect');
      await sleep(80);
      caller.destroy();
    }
    expect(connections).to.equal(3);
    intake.close();
    server.close();
  });
});
