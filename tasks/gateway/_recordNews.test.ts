import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import { RecordMirror } from '../../core/mirror/mod.ts';
import { decodePeerMessage } from './_peerMessages.ts';
import type { NewsMessage } from './_peerMessages.ts';
import { RecordNews } from './_recordNews.ts';
import type { NewsReceiver } from './_recordNews.ts';

const VALUE = Buffer.from('a'.repeat(10_000));

describe('RecordNews', () => {
  const clock = createVirtualClock();

  let mirror: RecordMirror;

  let news: RecordNews;

  let logged: string[];

  let sent: NewsMessage[];

  let receiver: NewsReceiver;

  function createNews(of: RecordMirror): RecordNews {
    of.apply({ since: undefined, records: [], asOf: 1 });
    return new RecordNews({
      mirrors: new Map([['op/', of]]),
      clock,
      log: (event) => logged.push(event),
      removalGraceUntil: () => undefined,
      onUpdate: (_prefix, update) => of.apply(update),
    });
  }

  function put(revision: number): void {
    const records = [{ key: 'op/a', value: VALUE, revision }];
    mirror.apply({ since: mirror.asOf, records, asOf: revision });
  }

  beforeEach(() => {
    mirror = new RecordMirror();
    logged = [];
    sent = [];
    news = createNews(mirror);
    receiver = {
      asOf: { 'op/': 1 },
      inflates: true,
      sent: new Map(),
      send: (bytes) => sent.push(decodePeerMessage(bytes) as NewsMessage),
    };
    put(2);
  });

  it('sends a large value deflated, and plain to an older build', () => {
    news.send(receiver);
    news.send({ ...receiver, inflates: undefined, sent: new Map() });
    const [deflated, plain] = sent.map((message) => message.news.records[0]!);
    expect(deflated!.value).to.equal(undefined);
    expect(deflated!.deflated!.length).to.be.below(VALUE.length / 10);
    expect(Buffer.from(plain!.value!)).to.deep.equal(VALUE);
  });

  it('sends what is on its way once more only to an entry that does not advance', () => {
    news.send(receiver);
    clock.advanceTo(clock.now() + 1000);
    news.send(receiver);
    expect(sent).to.have.length(1);
    put(3);
    news.send({ ...receiver, asOf: { 'op/': 2 } });
    clock.advanceTo(clock.now() + 1000);
    news.send({ ...receiver, asOf: { 'op/': 2 } });
    expect(sent.map((message) => message.news.since)).to.deep.equal([1, 2]);
    clock.advanceTo(clock.now() + 500);
    news.send({ ...receiver, asOf: { 'op/': 2 } });
    expect(sent).to.have.length(3);
    put(5);
    put(6);
    news.send({ ...receiver, asOf: { 'op/': 2 } });
    // It has advanced by a part, and then stands still.
    [1000, 1000, 1000].forEach((ms) => {
      clock.advanceTo(clock.now() + ms);
      news.send({ ...receiver, asOf: { 'op/': 5 } });
    });
    expect(sent.slice(3).map((message) => message.news.since)).to.deep.equal([3, 5]);
    sent.splice(3);
    expect(sent.map((message) => message.news.since)).to.deep.equal([1, 2, 2]);
  });

  it('ignores a value that cannot be inflated, and takes it when it comes whole', () => {
    news.send(receiver);
    const [message] = sent as [NewsMessage];
    const other = new RecordMirror();
    const receiving = createNews(other);
    const [record] = message.news.records;
    const invalid = { ...record!, deflated: Buffer.from('no deflated value') };
    receiving.receive({ ...message, news: { ...message.news, records: [invalid] } });
    expect(logged).to.deep.equal(['messageUnreadable']);
    expect(other.asOf).to.equal(1);
    receiving.receive(message);
    expect(Buffer.from(other.records[0]!.value!)).to.deep.equal(VALUE);
  });
});
