import { expect } from 'chai';
import { request } from 'undici';
import { expectedText, openStream, stream } from './testing/callerClient.ts';
import type { CallerAddress, StreamedAnswer } from './testing/callerClient.ts';
import { FLEET_TOKEN, ProcessFleet } from './testing/processFleet.ts';
import type { ProcessFleetOptions } from './testing/processFleet.ts';
import { startSilentRelay } from './testing/silentRelay.ts';
import type { SilentRelay } from './testing/silentRelay.ts';

const SHORT_ANSWER_TOKENS = 5;

const LONG_ANSWER_TOKENS = 60;

const LINK_SUSPECTED = 'HS3002';

const REQUEST_ENDED = 'HS4001';

const PROCESS_STOPPING = 'HS1002';

const PROCESS_STOPPED = 'HS1003';

function expectComplete(answer: StreamedAnswer, tokens: number): void {
  expect(answer).to.include({ status: 200, servedBy: 't/a@1', outcome: 'done' });
  expect(answer.text).to.equal(expectedText(tokens));
}

describe('separate processes', () => {
  let fleet: ProcessFleet;
  let caller: CallerAddress;

  const start = async (options: ProcessFleetOptions = {}): Promise<void> => {
    fleet = await ProcessFleet.start(options);
    caller = { url: fleet.url, token: FLEET_TOKEN };
  };

  afterEach(() => fleet.stop());

  describe('a request', () => {
    beforeEach(() => start());

    it('streams the complete answer and is logged with its id by the entry', async () => {
      const answer = await stream(caller, SHORT_ANSWER_TOKENS);
      expectComplete(answer, SHORT_ANSWER_TOKENS);
      const { requestId } = answer;
      const ended = await fleet.entry.event(REQUEST_ENDED, (line) => line.request === requestId);
      expect(ended).to.include({
        role: 'entry',
        host: 'entry-1',
        peer: answer.host,
        outcome: 'done',
      });
      expect(ended.exchange).to.be.a('string').and.not.to.equal('');
    });

    it('takes effect once when a call is sent twice with one idempotency key', async () => {
      const service = `${fleet.url}/v1/services/t/s`;
      const authorization = `Bearer ${FLEET_TOKEN}`;
      const minted = await request(`${service}/keys`, {
        method: 'POST',
        headers: { authorization },
      });
      const { key } = (await minted.body.json()) as { readonly key: string };
      const book = async (): Promise<unknown> => {
        const response = await request(`${service}/calls`, {
          method: 'POST',
          headers: { authorization, 'idempotency-key': key },
          body: '{"bench":2}',
        });
        return response.body.json();
      };
      const first = await book();
      expect(first).to.deep.include({
        outcome: 'done',
        answer: JSON.stringify({ number: 1, request: '{"bench":2}' }),
      });
      expect(await book()).to.deep.equal(first);
    });
  });

  describe('SIGTERM', () => {
    beforeEach(() => start());

    it('lets a sidecar finish its stream, receive no other and exit with 0', async () => {
      const open = await openStream(caller, LONG_ANSWER_TOKENS);
      const sidecar = fleet.sidecars.get(open.host)!;
      sidecar.signal('SIGTERM');
      await sidecar.event(PROCESS_STOPPING);
      const next = await stream(caller, SHORT_ANSWER_TOKENS);
      expectComplete(next, SHORT_ANSWER_TOKENS);
      expect(next.host).not.to.equal(open.host);
      expectComplete(await open.answer, LONG_ANSWER_TOKENS);
      await sidecar.event(PROCESS_STOPPED);
      expect(await sidecar.exit).to.deep.equal({ code: 0, signal: null });
    });

    it('lets an entry finish its stream, refuse new requests and exit with 0', async () => {
      const open = await openStream(caller, LONG_ANSWER_TOKENS);
      fleet.entry.signal('SIGTERM');
      await fleet.entry.event(PROCESS_STOPPING);
      const refused = await stream(caller, SHORT_ANSWER_TOKENS);
      expect(refused.status).to.equal(503);
      expectComplete(await open.answer, LONG_ANSWER_TOKENS);
      expect(await fleet.entry.exit).to.deep.equal({ code: 0, signal: null });
    });
  });

  describe('SIGKILL of a sidecar', () => {
    beforeEach(() => start());

    it('ends its stream with outcome unknown, and later requests go to another host', async () => {
      const open = await openStream(caller, LONG_ANSWER_TOKENS);
      const killed = fleet.sidecars.get(open.host)!;
      await killed.kill();
      expect((await open.answer).outcome).to.equal('unknown');
      const next = await stream(caller, SHORT_ANSWER_TOKENS);
      expectComplete(next, SHORT_ANSWER_TOKENS);
      expect(next.host).not.to.equal(open.host);
    });
  });

  describe('SIGSTOP of a sidecar', () => {
    beforeEach(() => start());

    it('diverts requests to another host until SIGCONT, and interrupts no stream', async () => {
      const open = await openStream(caller, LONG_ANSWER_TOKENS);
      const paused = fleet.sidecars.get(open.host)!;
      const seen = fleet.entry.lines.length;
      paused.signal('SIGSTOP');
      await fleet.entry.event(LINK_SUSPECTED, ({ peer }) => peer === open.host, seen);
      const next = await stream(caller, SHORT_ANSWER_TOKENS);
      expectComplete(next, SHORT_ANSWER_TOKENS);
      expect(next.host).not.to.equal(open.host);
      paused.signal('SIGCONT');
      expectComplete(await open.answer, LONG_ANSWER_TOKENS);
    });
  });

  describe('a relay that goes silent', () => {
    const relays: SilentRelay[] = [];

    beforeEach(() =>
      start({
        relay: async (_host, port) => {
          const relay = await startSilentRelay(port);
          relays.push(relay);
          return relay.port;
        },
      }),
    );

    afterEach(async () => {
      await Promise.all(relays.splice(0).map((relay) => relay.close()));
    });

    it('interrupts no stream, since a new connection replaces the silent one', async () => {
      const open = await openStream(caller, LONG_ANSWER_TOKENS);
      const seen = fleet.entry.lines.length;
      relays.forEach((relay) => relay.silence());
      await fleet.entry.event(LINK_SUSPECTED, ({ peer }) => peer === open.host, seen);
      await fleet.linkReady(open.host, seen);
      expectComplete(await open.answer, LONG_ANSWER_TOKENS);
    });
  });
});
