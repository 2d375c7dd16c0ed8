import { expect } from 'chai';
import { Quarantine, REQUEST_POLICY, traitsOf } from './mod.ts';
import type { Trait } from './mod.ts';

const SERVICE = 's';

const BAD = 'part:bad0';

const never = (): boolean => false;

type Changes = { readonly quarantined: Trait[]; readonly released: Trait[] };

function createQuarantine(
  self = 'a',
  peers: readonly string[] = [],
): { readonly quarantine: Quarantine; readonly changes: Changes } {
  const changes: Changes = { quarantined: [], released: [] };
  const quarantine = new Quarantine({
    self,
    incarnation: self,
    peers: () => peers,
    onQuarantined: ({ trait }) => changes.quarantined.push(trait),
    onReleased: (trait) => changes.released.push(trait),
    onChange: () => undefined,
  });
  return { quarantine, changes };
}

/** Records ends a second apart, each with some traits, and three sound responses after each. */
function noteEnds(quarantine: Quarantine, from: number, ends: readonly (readonly Trait[])[]): void {
  ends.forEach((traits, index) => {
    const at = from + index * 1000;
    quarantine.noteEnd({ server: `server-${at}`, service: SERVICE, at, traits });
    [1, 2, 3].forEach((number) => quarantine.noteResponse(SERVICE, ['part:aa'], at + number));
  });
  quarantine.tick(from + (ends.length - 1) * 1000 + 200);
}

describe('traitsOf', () => {
  it('names the path, the model and all parts but the last', () => {
    const features = { promptParts: ['a', 'b', 'own'], modelName: 'm/a1', path: '/x?y=1' };
    expect(traitsOf(features)).to.deep.equal(['path:/x?y=1', 'model:m/a1', 'part:a', 'part:b']);
  });

  it('shortens long values and bounds their number', () => {
    const promptParts = Array.from({ length: 5000 }, (_, index) => `${index}`.repeat(40));
    const traits = traitsOf({ promptParts, path: '/'.repeat(9000) });
    expect(traits).to.have.length.below(70);
    traits.forEach((trait) => expect(trait).to.have.length.below(100));
  });
});

describe('Quarantine', () => {
  describe('a trait that three ends have in common', () => {
    it('is quarantined, and nothing else that ran there', () => {
      const { quarantine, changes } = createQuarantine();
      noteEnds(quarantine, 0, [
        [BAD, 'part:aa', 'part:b1'],
        [BAD, 'part:aa', 'part:b2'],
        [BAD, 'part:aa', 'part:b1'],
      ]);
      expect(changes.quarantined).to.deep.equal([BAD]);
      expect(quarantine.admit(['part:aa', 'part:b1'], never, 3000).kind).to.equal('send');
      expect(quarantine.admit(['part:aa', BAD], never, 3000)).to.deep.equal({
        kind: 'reject',
        trait: BAD,
      });
    });

    it('is not quarantined if it was in a successful response since the first', () => {
      const { quarantine, changes } = createQuarantine();
      noteEnds(quarantine, 0, [[BAD], [BAD]]);
      quarantine.noteResponse(SERVICE, [BAD], 1500);
      noteEnds(quarantine, 2000, [[BAD], [BAD]]);
      expect(changes.quarantined).to.deep.equal([]);
    });

    it('is not quarantined if the service responds to nothing, before the fifth', () => {
      const { quarantine, changes } = createQuarantine();
      [0, 1000, 2000, 3000].forEach((at) => {
        quarantine.noteEnd({ server: `s${at}`, service: SERVICE, at, traits: [BAD] });
      });
      quarantine.tick(3200);
      expect(changes.quarantined).to.deep.equal([]);
      quarantine.noteEnd({ server: 's5', service: SERVICE, at: 4000, traits: [BAD] });
      quarantine.tick(4200);
      expect(changes.quarantined).to.deep.equal([BAD]);
    });

    it('is not quarantined if the servers ended at the same time', () => {
      const { quarantine, changes } = createQuarantine();
      [0, 10, 20, 30, 40].forEach((at) => {
        quarantine.noteEnd({ server: `s${at}`, service: SERVICE, at, traits: [BAD] });
        [1, 2, 3].forEach((number) => quarantine.noteResponse(SERVICE, ['part:c'], at + number));
      });
      quarantine.tick(300);
      expect(changes.quarantined).to.deep.equal([]);
    });
  });

  describe('a trait that two ends have in common', () => {
    it('runs one request at a time', () => {
      const { quarantine } = createQuarantine();
      noteEnds(quarantine, 0, [[BAD], [BAD]]);
      expect(quarantine.isIsolated(BAD)).to.equal(true);
      expect(quarantine.admit([BAD], never, 2000).kind).to.equal('send');
      expect(quarantine.admit([BAD], (trait) => trait === BAD, 2000).kind).to.equal('wait');
    });
  });

  describe('a quarantined trait', () => {
    it('is tested by one request of one process, later each time, twice after five ends', () => {
      const names = ['a', 'b', 'c'];
      const all = names.map((name) =>
        createQuarantine(
          name,
          names.filter((other) => other !== name),
        ),
      );
      noteEnds(all[0]!.quarantine, 0, [[BAD], [BAD], [BAD], [BAD], [BAD]]);
      const share = (from: number, now: number): void => {
        all.forEach(({ quarantine }, to) => {
          const update = all[from]!.quarantine.updateSince(0, now);
          if (to !== from && update !== undefined) quarantine.applyUpdate(update, now);
        });
      };
      share(0, 5000);
      const trials: number[] = [];
      const tryOut = (index: number, now: number): void => {
        const { quarantine } = all[index]!;
        if (quarantine.admit([BAD], never, now).kind !== 'trial') return;
        trials.push(now);
        quarantine.noteTrial([BAD], now);
        quarantine.noteEnd({ server: `t${now}`, service: SERVICE, at: now, traits: [BAD] });
        share(index, now);
      };
      for (let now = 5000; now < 36_000_000; now += 5000) {
        tryOut(0, now);
        tryOut(1, now);
        tryOut(2, now);
      }
      expect(trials).to.have.length(2);
      all.forEach(({ changes }) => expect(changes.quarantined).to.deep.equal([BAD]));
    });

    it('is released everywhere by a successful response, also where the verdict arrives later', () => {
      const first = createQuarantine('a', ['b']);
      const second = createQuarantine('b', ['a']);
      noteEnds(first.quarantine, 0, [[BAD], [BAD], [BAD]]);
      second.quarantine.applyUpdate(first.quarantine.updateSince(0, 3000)!, 3000);
      expect(second.changes.quarantined).to.deep.equal([BAD]);
      second.quarantine.noteResponse(SERVICE, [BAD], 70_000);
      const old = first.quarantine.updateSince(0, 70_001)!;
      second.quarantine.applyUpdate(old, 70_001);
      first.quarantine.applyUpdate(second.quarantine.updateSince(0, 70_002)!, 70_002);
      [first, second].forEach(({ quarantine, changes }) => {
        expect(changes.released).to.deep.equal([BAD]);
        expect(quarantine.admit([BAD], never, 70_003).kind).to.equal('send');
      });
    });

    it('explains its ends, so that they do not count against what else ran there', () => {
      const { quarantine, changes } = createQuarantine();
      noteEnds(quarantine, 0, [[BAD], [BAD, 'part:b1'], [BAD, 'part:b1']]);
      noteEnds(quarantine, 4000, [
        [BAD, 'part:b1'],
        [BAD, 'part:b1'],
        [BAD, 'part:b1'],
      ]);
      expect(changes.quarantined).to.deep.equal([BAD]);
      expect(quarantine.isIsolated('part:b1')).to.equal(false);
    });
  });

  it('learns from the reports of several processes, each of which saw one end', () => {
    const names = ['a', 'b', 'c'];
    const all = names.map((name) => createQuarantine(name));
    all.forEach(({ quarantine }, index) => {
      [1, 2, 3].forEach((number) => quarantine.noteResponse(SERVICE, ['part:c'], number));
      const at = index * 1000;
      quarantine.noteEnd({ server: `s${index}`, service: SERVICE, at, traits: [BAD] });
      [1, 2, 3].forEach((number) => quarantine.noteResponse(SERVICE, ['part:c'], at + number));
    });
    all.forEach((from) =>
      all.forEach((to) => {
        const update = from.quarantine.updateSince(0, 2100);
        if (to !== from && update !== undefined) to.quarantine.applyUpdate(update, 2100);
      }),
    );
    all.forEach(({ quarantine }) => quarantine.tick(2300));
    expect(all.some(({ changes }) => changes.quarantined.includes(BAD))).to.equal(true);
  });

  it('keeps a bounded amount, and the evidence that repeats', () => {
    const { quarantine, changes } = createQuarantine();
    for (let number = 0; number < 3000; number += 1) {
      const at = number * 200;
      const traits = number % 100 === 0 ? [BAD, `path:/${at}`] : [`path:/${at}`, `part:${at}`];
      quarantine.noteEnd({ server: `s${at}`, service: SERVICE, at, traits });
      [1, 2, 3].forEach((each) => quarantine.noteResponse(SERVICE, ['part:aa'], at + each));
    }
    expect(changes.quarantined).to.deep.equal([BAD]);
    expect(quarantine.updateSince(0, 600_000)!.ends).to.have.length.at.most(256);
    quarantine.tick(2_000_000);
    expect(quarantine.suspectCount).to.equal(0);
  });
});

describe('Quarantine, of single requests', () => {
  const CRASHING = 'request:bad';

  const BYSTANDER = 'request:other';

  function createRequestQuarantine(self = 'a', peers: readonly string[] = []): Quarantine {
    return new Quarantine({
      self,
      incarnation: self,
      peers: () => peers,
      policy: REQUEST_POLICY,
      onQuarantined: () => undefined,
      onReleased: () => undefined,
      onChange: () => undefined,
    });
  }

  /** Records ends of different servers 50 ms apart, as when all servers of a service end under one request. */
  function noteSeries(quarantine: Quarantine, ends: readonly (readonly Trait[])[]): void {
    ends.forEach((traits, index) => {
      const end = { server: `server-${index}`, service: SERVICE, at: index * 50, traits };
      quarantine.noteEnd(end);
    });
    quarantine.tick(ends.length * 50 + 200);
  }

  it('rejects a request after three ends in a row, though nothing else was answered', () => {
    const quarantine = createRequestQuarantine();
    noteSeries(quarantine, [[CRASHING], [CRASHING]]);
    expect(quarantine.quarantined).to.deep.equal([]);
    noteSeries(quarantine, [[CRASHING], [CRASHING], [CRASHING]]);
    expect(quarantine.quarantined).to.deep.equal([CRASHING]);
    expect(quarantine.admit([CRASHING], never, 1000).kind).to.equal('reject');
  });

  it('runs a request one at a time and does not repeat it from the second end on', () => {
    const quarantine = createRequestQuarantine();
    noteSeries(quarantine, [[CRASHING]]);
    expect(quarantine.isIsolated(CRASHING)).to.equal(false);
    noteSeries(quarantine, [[CRASHING], [CRASHING]]);
    expect(quarantine.isIsolated(CRASHING)).to.equal(true);
    expect(quarantine.admit([CRASHING], () => true, 1000).kind).to.equal('wait');
  });

  it('accuses the request at the most ends, not one that ran beside it', () => {
    const quarantine = createRequestQuarantine();
    const both = [CRASHING, BYSTANDER];
    noteSeries(quarantine, [both, both, both, [CRASHING]]);
    expect(quarantine.quarantined).to.deep.equal([CRASHING]);
    expect(quarantine.suspectCount).to.equal(0);
  });

  it('tests two requests that it cannot tell apart after two seconds, and frees the sound one', () => {
    const quarantine = createRequestQuarantine();
    const both = [CRASHING, BYSTANDER];
    noteSeries(quarantine, [both, both, both]);
    expect(quarantine.quarantined).to.have.members(both);
    expect(quarantine.admit([BYSTANDER], never, 2000).kind).to.equal('reject');
    expect(quarantine.admit([BYSTANDER], never, 2200).kind).to.equal('trial');
    quarantine.noteTrial([BYSTANDER], 2200);
    quarantine.noteResponse(SERVICE, [BYSTANDER], 2300);
    expect(quarantine.quarantined).to.deep.equal([CRASHING]);
  });

  it('passes on several verdicts with the time of their last end', () => {
    const quarantine = createRequestQuarantine();
    const both = [CRASHING, BYSTANDER];
    noteSeries(quarantine, [both, both, both]);
    const { verdicts } = quarantine.updateSince(0, 500)!;
    expect(verdicts).to.have.length(2);
    verdicts.forEach((verdict) => expect(verdict).to.include({ ageMs: 400, endCount: 3 }));
  });

  it('tests a verdict twice in all, whatever the entry', () => {
    const [a, b] = [createRequestQuarantine('a', ['b']), createRequestQuarantine('b', ['a'])];
    noteSeries(a, [[CRASHING], [CRASHING], [CRASHING]]);
    b.applyUpdate(a.updateSince(0, 400)!, 400);
    const trialsOf = (own: Quarantine, other: Quarantine, now: number): number => {
      own.noteArrival([CRASHING], now);
      if (own.admit([CRASHING], never, now).kind !== 'trial') return 0;
      own.noteTrial([CRASHING], now);
      own.noteEnd({ server: `t${now}`, service: SERVICE, at: now + 50, traits: [CRASHING] });
      other.applyUpdate(own.updateSince(0, now + 60)!, now + 60);
      return 1;
    };
    let trials = 0;
    for (let now = 1000; now < 3_600_000; now += 1000) {
      trials += trialsOf(a, b, now) + trialsOf(b, a, now);
    }
    expect(trials).to.equal(2);
  });
});
