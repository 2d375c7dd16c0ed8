import { expect } from 'chai';
import { startUnframedServer } from '../http/testing/unframedServer.ts';
import type { UnframedEnding } from '../http/testing/unframedServer.ts';
import { createHttpService } from './createHttpService.ts';

const CALLS = 20;

describe('createHttpService', () => {
  describe('a reply without a length', () => {
    const kinds = { close: 'answered', reset: 'lost', 'late-reset': 'lost' } as const;

    (Object.keys(kinds) as UnframedEnding[]).forEach((ending) => {
      // Guards against a part of a reply that is passed on as all of it.
      it(`is ${kinds[ending]} if it ends by a ${ending}`, async () => {
        const server = await startUnframedServer(ending, 'reply');
        const service = createHttpService({ url: `http://${server.address}/` });
        const results: string[] = [];
        for (let call = 0; call < CALLS; call += 1) results.push((await service.call('{}')).kind);
        server.close();
        expect(results).to.deep.equal(Array(CALLS).fill(kinds[ending]));
      });
    });
  });
});
