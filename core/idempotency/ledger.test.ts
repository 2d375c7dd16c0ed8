import { expect } from 'chai';
import fc from 'fast-check';
import { DONE } from '../outcome/mod.ts';
import { formatKey, isKeySigned, parseKey } from './key.ts';
import { KeyLedger } from './ledger.ts';

const RUNS = { seed: 20261203, numRuns: 2000 };

function ledgerOf(capacity = 100): KeyLedger {
  let nonces = 0;
  return new KeyLedger({
    host: 's1',
    incarnation: 'i1',
    secret: 'secret-of-this-incarnation',
    capacity,
    nonce: () => {
      nonces += 1;
      return `n${nonces}`;
    },
  });
}

describe('KeyLedger', () => {
  it("refuses a tenant that uses another tenant's key", () => {
    const ledger = ledgerOf();
    const key = ledger.mint('owner', 0);
    const owner = { tenant: 'owner', key };
    const other = { tenant: 'thief', key };
    expect(ledger.begin(other, 'book', 0)).to.have.nested.property('outcome.reason', 'bad-request');
    expect(ledger.revoke(other, 0)).to.have.nested.property('outcome.reason', 'bad-request');
    expect(ledger.begin(owner, 'book', 0).kind).to.equal('run');
    ledger.settle(key, { outcome: DONE, body: 'private' });
    const answer = ledger.lookup(other, 0);
    expect(answer).to.have.nested.property('outcome.reason', 'bad-request');
    expect(answer.body).to.equal('');
    expect(ledger.lookup(owner, 0)).to.deep.equal({ outcome: DONE, body: 'private' });
  });

  it('refuses a key with any one character changed', () => {
    const ledger = ledgerOf();
    const key = ledger.mint('t', 0);
    const change = fc.record({
      at: fc.nat(key.length - 1),
      by: fc.constantFrom('0', 'x', '~', '.'),
    });
    fc.assert(
      fc.property(change, ({ at, by }) => {
        const changed = `${key.slice(0, at)}${by}${key.slice(at + 1)}`;
        fc.pre(changed !== key);
        expect(ledger.begin({ tenant: 't', key: changed }, 'book', 0).kind).to.equal('settled');
      }),
      RUNS,
    );
    expect(ledger.size).to.equal(0);
  });

  it('stays within its capacity when many keys are revoked, and reports that a key was not revoked', () => {
    const ledger = ledgerOf(10);
    const answers = Array.from({ length: 50 }, () =>
      ledger.revoke({ tenant: 't', key: ledger.mint('t', 0) }, 0),
    );
    expect(ledger.size).to.equal(10);
    expect(answers.at(-1)).to.have.nested.property('outcome.kind', 'unknown');
  });

  it('removes expired keys while an older call is still running', () => {
    const ledger = ledgerOf(2);
    ledger.begin({ tenant: 't', key: ledger.mint('t', 0) }, 'slow', 0);
    ledger.revoke({ tenant: 't', key: ledger.mint('t', 0) }, 0);
    const late = 700_000;
    const key = ledger.mint('t', late);
    expect(ledger.begin({ tenant: 't', key }, 'book', late).kind).to.equal('run');
  });
});

describe('parseKey', () => {
  it('returns the parts of a key or undefined for any text', () => {
    const word = fc.oneof(fc.string(), fc.constantFrom('hk1', 's1', '12', '~', ''));
    const text = fc.oneof(
      fc.string(),
      fc.array(word, { maxLength: 8 }).map((all) => all.join('~')),
    );
    fc.assert(
      fc.property(text, (key) => {
        const parts = parseKey(key);
        if (parts === undefined) return;
        expect(parts.host).not.to.equal('');
        expect(parts.expiresAt).to.be.at.least(0);
        expect(isKeySigned(key, 'secret', 't')).to.equal(false);
      }),
      RUNS,
    );
  });

  it('parses the output of formatKey', () => {
    const word = fc.stringMatching(/^[A-Za-z0-9_-]{1,40}$/);
    const parts = fc.record({ host: word, incarnation: word, expiresAt: fc.nat(), nonce: word });
    fc.assert(
      fc.property(parts, (each) => {
        const key = formatKey(each, 'secret', 't');
        expect(parseKey(key)).to.deep.equal(each);
        expect(isKeySigned(key, 'secret', 't')).to.equal(true);
        expect(isKeySigned(key, 'secret', 'u')).to.equal(false);
      }),
      RUNS,
    );
  });
});
