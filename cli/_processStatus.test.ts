import { expect } from 'chai';
import { formatStatuses, findLagging } from './_processStatus.ts';
import type { StatusResult } from './_processStatus.ts';

function createStatus(
  host: string,
  generation: number,
  peers: readonly [string, string, number][],
): StatusResult {
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

describe('findLagging', () => {
  it('returns an empty list only when all processes and peers have the generation in force', () => {
    const upToDate = createStatus('e1', 5, [['s1', 'ready', 6]]);
    expect(findLagging([upToDate], 5)).to.deep.equal([]);
    expect(findLagging([upToDate, createStatus('e2', 4, [])], 5)).to.deep.equal(['e2']);
    expect(findLagging([createStatus('e1', 5, [['s1', 'ready', 4]])], 5)).to.have.length(1);
    expect(findLagging([createStatus('e1', 5, [['s1', 'suspected', 5]])], 5)).to.have.length(1);
    expect(findLagging([{ kind: 'problem', url: 'u', detail: 'd' }], 5)).to.deep.equal(['u']);
  });
});

describe('formatStatuses', () => {
  it('prints one line for each process', () => {
    const text = formatStatuses([
      createStatus('e1', 5, [['s1', 'suspected', 5]]),
      { kind: 'problem', url: 'u', detail: 'no answer' },
    ]);
    expect(text).to.equal('e1  entry  generation 5  digest abc  links 0/1 ready\nu  no answer\n');
  });
});
