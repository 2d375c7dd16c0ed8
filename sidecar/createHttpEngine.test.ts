import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { listenHttp } from '../http/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import type { Engine, EngineCall, EngineEvent } from '../tasks/ports/mod.ts';
import { createHttpEngine } from './createHttpEngine.ts';

const CALL: EngineCall = {
  stream: 's1',
  adapterVersion: 't/a@1',
  prompt: 'words',
  maxTokens: 1,
  priority: 0,
  resumeFrom: 0,
};

const CHUNK = {
  model: 't/a@1',
  choices: [{ text: 'word', finish_reason: 'stop' }],
  usage: { completion_tokens: 1 },
};

describe('createHttpEngine', () => {
  let listener: HttpListener;
  let engine: Engine;
  let paths: string[];

  /** Runs a call to its end; its connection is then idle, so that the next call is sent at once. */
  async function runWhole(stream: string): Promise<readonly EngineEvent[]> {
    const events: EngineEvent[] = [];
    await new Promise<void>((resolve) => {
      engine.stream({ ...CALL, stream }, (event) => {
        events.push(event);
        if (event.kind === 'ended') resolve();
      });
    });
    await nextTurn();
    return events;
  }

  beforeEach(async () => {
    paths = [];
    listener = await listenHttp({ ip: '127.0.0.1', port: 0 }, (request, response) => {
      paths.push(request.url ?? '');
      request.resume();
      response.end(`data: ${JSON.stringify(CHUNK)}\n\n`);
    });
    engine = createHttpEngine({ url: `http://127.0.0.1:${listener.port}` });
  });

  afterEach(async () => {
    await listener.abort();
  });

  it('streams the events of a call', async () => {
    const kinds = (await runWhole('s1')).map(({ kind }) => kind);
    expect(kinds).to.deep.equal(['started', 'chunk', 'ended']);
  });

  it('sends no completion whose caller left in the turn of the event loop that began it', async () => {
    await runWhole('first');
    const stop = engine.stream(CALL, () => expect.fail('a stopped call has no events'));
    stop();
    await runWhole('last');
    expect(paths.filter((path) => path === '/v1/completions')).to.have.length(2);
  });
});
