import { expect } from 'chai';
import { LinkPair } from './_linkPair.ts';
import type { Call, ExchangeEvent } from './frames.ts';

const CALL: Call = { kind: 'mint-key', service: 't/s', tenant: 't' };

const SUBMIT_OPTIONS = { generation: 1, budgetMs: 10_000 } as const;

const DONE: ExchangeEvent = {
  kind: 'final',
  outcome: { kind: 'done' },
  tokens: 0,
  digest: '',
  body: 'answer',
};

function chunk(text: string): ExchangeEvent {
  return { kind: 'chunk', text, tokens: 1 };
}

function startPair(): LinkPair {
  const pair = new LinkPair();
  pair.advance(50);
  return pair;
}

function submit(pair: LinkPair, name: string): void {
  pair.perform(pair.entry.submit(name, CALL, SUBMIT_OPTIONS, pair.now));
}

function deliveredEvents(pair: LinkPair): readonly ExchangeEvent[] {
  return pair.entryActions.flatMap((action) => (action.kind === 'deliver' ? [action.event] : []));
}

function failureReasons(pair: LinkPair): readonly string[] {
  return deliveredEvents(pair).flatMap((event) =>
    event.kind === 'final' && event.outcome.kind !== 'done' ? [event.outcome.reason] : [],
  );
}

describe('EntryLink', () => {
  describe('handshake', () => {
    it('makes the link ready when both sides hold the same key', () => {
      expect(startPair().entry.health).to.equal('ready');
    });

    it('rejects a sidecar that holds another key', () => {
      const pair = new LinkPair({ entryKey: 'another-link-key-0123456789-abcdef' });
      pair.advance(50);
      expect(pair.entry.health).to.equal('connecting');
      expect(pair.entryActions.map(({ kind }) => kind)).to.include('mismatch');
    });

    it('is refused by the sidecar of another host', () => {
      const pair = new LinkPair({ target: 'h2' });
      pair.advance(50);
      expect(pair.entry.health).to.equal('connecting');
      expect(pair.sidecarActions.map(({ kind }) => kind)).to.include('refused');
    });
  });

  describe('submit', () => {
    it('ends the exchange as not run when no connection is ready', () => {
      const pair = new LinkPair();
      submit(pair, 'x');
      expect(failureReasons(pair)).to.deep.equal(['unreachable']);
    });

    it('delivers each event once and in order, and acknowledges them all', () => {
      const pair = startPair();
      submit(pair, 'x');
      [chunk('a'), chunk('b'), DONE].forEach((event) =>
        pair.performSidecar(pair.sidecar.emit('x', event)),
      );
      expect(deliveredEvents(pair)).to.deep.equal([chunk('a'), chunk('b'), DONE]);
      expect(pair.sidecar.unacknowledgedExchangeCount).to.equal(0);
    });
  });

  describe('a silent connection', () => {
    it('is replaced by one that resumes known exchanges and ends unseen ones as not run', () => {
      const pair = startPair();
      submit(pair, 'seen');
      pair.performSidecar(pair.sidecar.emit('seen', chunk('a')));
      pair.lost.add(1);
      pair.performSidecar(pair.sidecar.emit('seen', chunk('b')));
      submit(pair, 'unseen');
      pair.advance(1100);
      expect(pair.entry.health).to.equal('ready');
      pair.performSidecar(pair.sidecar.emit('seen', DONE));
      const texts = deliveredEvents(pair).flatMap((event) =>
        event.kind === 'chunk' ? [event.text] : [],
      );
      expect(texts).to.deep.equal(['a', 'b']);
      expect(failureReasons(pair)).to.deep.equal(['unreachable']);
      expect(deliveredEvents(pair).at(-1)).to.deep.equal(DONE);
    });

    it('is fenced once replaced, so that a delayed call does not run', () => {
      const pair = startPair();
      pair.lost.add(1);
      submit(pair, 'late');
      const late = pair.entryActions.at(-1);
      pair.advance(1100);
      pair.lost.clear();
      const before = pair.sidecarActions.length;
      if (late?.kind !== 'send') throw new Error('the submit frame was not sent');
      pair.performSidecar(pair.sidecar.received(late.epoch, late.envelope, pair.now));
      const kinds = pair.sidecarActions.slice(before).map(({ kind }) => kind);
      expect(kinds).not.to.include('run');
    });
  });

  describe('set frames', () => {
    it('reach the entry that reported its set to the sidecar', () => {
      const pair = startPair();
      const frame = { kind: 'set-read', name: 'head' } as const;
      const peerSet = pair.sidecarActions.find(({ kind }) => kind === 'peer-set');
      if (peerSet?.kind !== 'peer-set') throw new Error('the entry did not report its set');
      pair.performSidecar(pair.sidecar.sendSet(peerSet.peer, frame));
      expect(pair.entryActions.at(-1)).to.deep.equal({ kind: 'set-frame', frame });
    });
  });

  describe('a restart of the sidecar', () => {
    it('ends exchanges with the earlier incarnation as unknown', () => {
      const pair = startPair();
      submit(pair, 'x');
      pair.sidecar = pair.createSidecar('s-2');
      pair.perform(pair.entry.closed(1, pair.now));
      pair.advance(500);
      expect(failureReasons(pair)).to.deep.equal(['restarted']);
    });
  });

  describe('a link that stays lost', () => {
    it('ends open exchanges as unknown after the loss timeout', () => {
      const pair = startPair();
      submit(pair, 'x');
      for (let epoch = 1; epoch < 100; epoch += 1) pair.lost.add(epoch);
      pair.advance(7000);
      expect(failureReasons(pair)).to.deep.equal(['link-lost']);
    });
  });

  describe('frame sequence', () => {
    it('ignores a duplicate frame and closes the connection on a gap', () => {
      const pair = startPair();
      const frame = { kind: 'event', exchange: 'x', number: 0, event: chunk('a') } as const;
      pair.perform(pair.entry.received(1, { sequence: 0, frame }, pair.now));
      expect(pair.entry.health).to.equal('ready');
      pair.perform(pair.entry.received(1, { sequence: 99, frame }, pair.now));
      expect(pair.entryActions.at(-1)).to.have.property('kind', 'close');
    });
  });
});
