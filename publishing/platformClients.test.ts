import { expect } from 'chai';
import { startUnframedServer } from '../http/testing/unframedServer.ts';
import type { UnframedEnding } from '../http/testing/unframedServer.ts';
import { createHttpConfiguration } from './platformClients.ts';

const CALLS = 20;

describe('createHttpConfiguration', () => {
  describe('with a value without a length', () => {
    const results = { close: 'value', reset: 'error', 'late-reset': 'error' } as const;

    (Object.keys(results) as UnframedEnding[]).forEach((ending) => {
      // Guards against a part of a value that the log calls corrupted and has an operator publish again.
      it(`returns the ${results[ending]} if the response ends by a ${ending}`, async () => {
        const server = await startUnframedServer(ending, 'value');
        const configuration = createHttpConfiguration(`http://${server.address}`);
        const kinds: string[] = [];
        for (let call = 0; call < CALLS; call += 1) {
          const value = await configuration.read('name').catch(() => ({ text: 'error' }));
          kinds.push(value?.text ?? 'none');
        }
        await configuration.close();
        server.close();
        expect(kinds).to.deep.equal(Array(CALLS).fill(results[ending]));
      });
    });
  });
});
