import { expect } from 'chai';
import { parseScenario } from './parseScenario.ts';

const VERBS = {
  wait: { usage: 'wait MILLISECONDS', words: [1, 1] },
  call: { usage: 'call NAME ENTRY MODEL [tokens=N]', words: [3, 3], options: ['tokens'] },
} as const;

describe('parseScenario', () => {
  it('parses words and options and skips comments', () => {
    const { lines } = parseScenario('s', '# note\n\ncall r e "t/a@1" tokens=8\n', VERBS);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.deep.include({ line: 3, verb: 'call', words: ['r', 'e', 't/a@1'] });
    expect(lines[0]?.options).to.deep.equal({ tokens: '8' });
  });

  describe('rejects', () => {
    it('an unknown verb, with file, line and the verbs allowed', () => {
      expect(() => parseScenario('s', 'wait 1\nsleep 1', VERBS)).to.throw(
        's:2: "sleep" is not a verb; use one of: call, wait',
      );
    });

    it('the name of a property that every object inherits', () => {
      expect(() => parseScenario('s', 'constructor', VERBS)).to.throw('use one of: call, wait');
    });

    it('a wrong number of words or an unknown option, with the usage', () => {
      expect(() => parseScenario('s', 'wait', VERBS)).to.throw('s:1: write it as: wait MILLI');
      expect(() => parseScenario('s', 'wait 1 tokens=2', VERBS)).to.throw('write it as: wait');
    });
  });
});
