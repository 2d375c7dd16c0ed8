import { expect } from 'chai';
import type { LogEventName } from '../../log/mod.ts';
import { Metrics } from '../../metrics/mod.ts';
import type { ResponseHeaders } from '../../platform/mod.ts';
import type { OpenRequest } from './_openRequest.ts';
import { ServerLimits } from './_serverLimits.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';

const SERVER = 'i-1';

const NAMED: ResponseHeaders = {
  requestId: 'r1',
  hasProof: true,
  isNotRun: false,
  isEncoded: false,
  isFramed: true,
  serverLimit: { kind: 'limit', perSecond: 2 },
  forwardedHeaders: [],
};

describe('ServerLimits', () => {
  let network: FakeNetwork;
  let events: LogEventName[];
  let limits: ServerLimits;

  beforeEach(() => {
    network = new FakeNetwork();
    events = [];
    limits = new ServerLimits({
      clock: network.clock,
      log: (event) => events.push(event),
      metrics: new Metrics(),
      dial: network.dialFrom('a'),
      self: 'a',
      peers: () => [],
      reach: () => ({ known: 1, reachable: 1 }),
      onAnswer: () => undefined,
      onChange: () => undefined,
    });
  });

  function note(response: Partial<ResponseHeaders>, status = 200): void {
    const request = { view: { server: { id: SERVER } }, head: { requestId: 'r1' } };
    const sentAt = network.clock.now();
    network.run(10);
    const open = { ...request, sentAt } as unknown as OpenRequest;
    limits.noteHead(open, status, { ...NAMED, ...response });
  }

  const ignored: Readonly<Record<string, readonly [Partial<ResponseHeaders>, number]>> = {
    'for another request': [{ requestId: 'r2' }, 200],
    'without proof': [{ hasProof: false }, 200],
    'of another server at the address': [{ isNotRun: true }, 421],
  };

  Object.entries(ignored).forEach(([name, [response, status]]) => {
    it(`takes no limit from a response ${name}, and ends none`, () => {
      note(response, status);
      expect(limits.isLimited(SERVER)).to.equal(false);
      note({});
      const { serverLimit, ...unnamed } = { ...NAMED, ...response };
      expect(serverLimit).to.not.equal(undefined);
      note({ ...unnamed, serverLimit: undefined as never }, status);
      expect(limits.registry.size).to.equal(1);
    });
  });

  it('takes a limit from a refusal that did not run the request', () => {
    note({ hasProof: false, isNotRun: true }, 503);
    expect(limits.isLimited(SERVER)).to.equal(true);
    expect(limits.isOpen(SERVER)).to.equal(false);
  });

  it('keeps the last limit when a value is none, and logs it once a second', () => {
    note({});
    [1, 2, 3].forEach(() => note({ serverLimit: { kind: 'invalid', text: '-1' } }));
    expect(limits.rateOf(SERVER)).to.equal(2);
    expect(events).to.deep.equal(['serverLimitNamed', 'serverLimitInvalid']);
  });

  it('forgets a server that was removed', () => {
    note({});
    limits.forget(SERVER);
    expect(limits.isLimited(SERVER)).to.equal(false);
  });
});
