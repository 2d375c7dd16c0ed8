import { expect } from 'chai';
import { formatStatuses, laggardsOf } from './_processStatus.ts';
import type { StatusReading } from './_processStatus.ts';

function reading(
  host: string,
  generation: number,
  peers: readonly [string, string, number][],
): StatusReading {
  const links = peers.map(([peer, health, peerGeneration]) => ({
    host: peer,
    health,
    peerSet: { generation: peerGeneration },
  }));
  const identity = { role: 'entry', host, incarnation: 'i' };
  return {
    kind: 'status',
    url: host,
    status: { identity, generation, digest: 'abc', leaving: false, links },
  };
}

describe('laggardsOf', () => {
  it('is empty only when the generation is in force at every process and peer', () => {
    const upToDate = reading('e1', 5, [['s1', 'ready', 6]]);
    expect(laggardsOf([upToDate], 5)).to.deep.equal([]);
    expect(laggardsOf([upToDate, reading('e2', 4, [])], 5)).to.deep.equal(['e2']);
    expect(laggardsOf([reading('e1', 5, [['s1', 'ready', 4]])], 5)).to.have.length(1);
    expect(laggardsOf([reading('e1', 5, [['s1', 'suspected', 5]])], 5)).to.have.length(1);
    expect(laggardsOf([{ kind: 'problem', url: 'u', detail: 'd' }], 5)).to.deep.equal(['u']);
  });
});

describe('formatStatuses', () => {
  it('writes one line for each process', () => {
    const text = formatStatuses([
      reading('e1', 5, [['s1', 'suspected', 5]]),
      { kind: 'problem', url: 'u', detail: 'no answer' },
    ]);
    expect(text).to.equal('e1  entry  generation 5  digest abc  links 0/1 ready\nu  no answer\n');
  });
});
