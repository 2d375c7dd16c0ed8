import { expect } from 'chai';
import { EntryLink } from './entryLink.ts';
import type { EntryFrame, Identity, SidecarFrame } from './frames.ts';
import { computeProof } from './proof.ts';
import { SidecarLinks } from './sidecarLink.ts';
import type { SidecarLinksAction } from './sidecarLink.ts';

const KEY = 'the-link-key-0123456789';

const OLD_KEY = 'the-old-link-key-0123456789';

const SIDECAR: Identity = { role: 'sidecar', host: 's', incarnation: 's-1' };

const ENTRY: Identity = { role: 'entry', host: 'e', incarnation: 'e-1' };

const SET = { generation: 0, digest: '' };

const REPORT = {
  running: 0,
  waiting: 0,
  batchWidth: 1,
  resident: [],
  leaving: false,
  backendServer: 's',
};

const CANCEL: EntryFrame = { kind: 'cancel', exchange: 'x' };

function linksOf(keys: readonly string[] = [KEY], mostUnproved = 256): SidecarLinks {
  let nonces = 0;
  return new SidecarLinks({
    identity: SIDECAR,
    keys,
    mostUnproved,
    nonce: () => {
      nonces += 1;
      return `s-nonce-${nonces}`;
    },
    status: () => ({ set: SET, report: REPORT }),
  });
}

function refusals(actions: readonly SidecarLinksAction[]): readonly string[] {
  return actions.flatMap((action) => (action.kind === 'refused' ? [action.detail] : []));
}

function framesOf(actions: readonly SidecarLinksAction[]): readonly SidecarFrame[] {
  return actions.flatMap((action) => (action.kind === 'send' ? [action.envelope.frame] : []));
}

/** A stranger or entry that writes frames by hand on one connection. */
class Peer {
  readonly #links: SidecarLinks;

  readonly #number: number;

  #sent = 0;

  constructor(links: SidecarLinks, number: number) {
    this.#links = links;
    this.#number = number;
    links.accepted(number, 0);
  }

  say(frame: EntryFrame): readonly SidecarLinksAction[] {
    const sequence = this.#sent;
    this.#sent += 1;
    return this.#links.received(this.#number, { sequence, frame }, 0);
  }

  hello(identity = ENTRY, epoch = 1): readonly SidecarLinksAction[] {
    const nonce = 'e-nonce';
    return this.say({ kind: 'hello', version: 1, identity, target: 's', epoch, nonce });
  }

  /** Completes the handshake and returns the frame that did it. */
  prove(
    key: string,
    identity = ENTRY,
    epoch = 1,
  ): {
    readonly frame: EntryFrame;
    readonly actions: readonly SidecarLinksAction[];
  } {
    const [welcome] = framesOf(this.hello(identity, epoch));
    const sidecarNonce = welcome?.kind === 'welcome' ? welcome.nonce : '';
    const handshake = {
      entry: identity,
      sidecar: SIDECAR,
      epoch,
      entryNonce: 'e-nonce',
      sidecarNonce,
    };
    const proof = computeProof(key, 'entry', handshake);
    const frame: EntryFrame = { kind: 'proof', proof, resume: [], set: SET };
    return { frame, actions: this.say(frame) };
  }
}

describe('SidecarLinks', () => {
  it('refuses a replayed handshake', () => {
    const links = linksOf();
    const { frame, actions } = new Peer(links, 1).prove(KEY);
    expect(refusals(actions)).to.deep.equal([]);
    const replay = new Peer(links, 2);
    replay.hello(ENTRY, 1);
    expect(refusals(replay.say(frame))).to.have.length(1);
  });

  it('refuses a forged proof, also one made of its own', () => {
    const links = linksOf();
    expect(refusals(new Peer(links, 1).prove('a-guess').actions)).to.have.length(1);
    const mirror = new Peer(links, 2);
    const [welcome] = framesOf(mirror.hello());
    const proof = welcome?.kind === 'welcome' ? welcome.proof : '';
    const actions = mirror.say({ kind: 'proof', proof, resume: [], set: SET });
    expect(refusals(actions)).to.have.length(1);
  });

  it('refuses an entry that claims to be a sidecar, or wants another host', () => {
    const links = linksOf();
    const impostor = { ...ENTRY, role: 'sidecar' } as const;
    expect(refusals(new Peer(links, 1).hello(impostor))).to.have.length(1);
    const lost = new Peer(links, 2).say({
      kind: 'hello',
      version: 1,
      identity: ENTRY,
      target: 'other',
      epoch: 1,
      nonce: 'n',
    });
    expect(refusals(lost)).to.have.length(1);
  });

  it('refuses every frame that comes before proof, and runs nothing', () => {
    const links = linksOf();
    const early: readonly EntryFrame[] = [
      CANCEL,
      { kind: 'heartbeat', set: SET },
      { kind: 'acknowledge', exchange: 'x', nextEvent: 1 },
      { kind: 'proof', proof: 'p', resume: [], set: SET },
      {
        kind: 'submit',
        exchange: 'x',
        generation: 1,
        budgetMs: 1000,
        echo: 0,
        sinceEchoMs: 0,
        call: { kind: 'mint-key', service: 't/s', tenant: 't' },
      },
    ];
    early.forEach((frame, index) => {
      const actions = new Peer(links, index).say(frame);
      expect(refusals(actions), frame.kind).to.have.length(1);
      expect(actions.map((action) => action.kind)).not.to.include('run');
    });
    expect(links.unacknowledged).to.equal(0);
  });

  it('answers one hello for each connection', () => {
    const peer = new Peer(linksOf(), 1);
    peer.hello();
    expect(refusals(peer.hello())).to.have.length(1);
  });

  it('keeps a bounded number of connections without proof, and lets others in later', () => {
    const links = linksOf([KEY], 10);
    const answers = Array.from({ length: 100 }, (_, index) => links.accepted(index, 0));
    expect(answers.filter((actions) => refusals(actions).length > 0)).to.have.length(90);
    links.tick(1000);
    expect(links.accepted(200, 1000)).to.deep.equal([]);
  });

  it("lets no entry cancel or take over another entry's exchange", () => {
    const links = linksOf();
    const owner = new Peer(links, 1);
    owner.prove(KEY);
    const submit: EntryFrame = {
      kind: 'submit',
      exchange: 'x',
      generation: 1,
      budgetMs: 1000,
      echo: 0,
      sinceEchoMs: 0,
      call: { kind: 'mint-key', service: 't/s', tenant: 't' },
    };
    owner.say(submit);
    const other = new Peer(links, 2);
    other.prove(KEY, { role: 'entry', host: 'e2', incarnation: 'e2-1' });
    expect([...other.say(CANCEL), ...other.say(submit)]).to.deep.equal([]);
    const event = {
      kind: 'final',
      outcome: { kind: 'done' },
      tokens: 0,
      digest: '',
      body: 'k',
    } as const;
    const sends = links.emit('x', event).filter((action) => action.kind === 'send');
    expect(sends.map((action) => action.connection)).to.deep.equal([1]);
  });
});

describe('rotation of link keys', () => {
  function connects(entryKeys: readonly string[], sidecarKeys: readonly string[]): boolean {
    const links = linksOf(sidecarKeys);
    const entry = new EntryLink({
      identity: ENTRY,
      target: 's',
      keys: entryKeys,
      nonce: () => 'n',
    });
    links.accepted(1, 0);
    entry.tick(0);
    let outbound = entry.opened(1);
    for (let turn = 0; turn < 3; turn += 1) {
      const replies = outbound.flatMap((action) =>
        action.kind === 'send' ? links.received(1, action.envelope, 0) : [],
      );
      outbound = replies.flatMap((action) =>
        action.kind === 'send' ? entry.received(1, action.envelope, 0) : [],
      );
    }
    return entry.health === 'ready';
  }

  it('cuts no link while each end has either step of two', () => {
    const steps = [[OLD_KEY], [OLD_KEY, KEY], [KEY, OLD_KEY], [KEY]] as const;
    steps.slice(1).forEach((step, index) => {
      const before = steps[index]!;
      expect(connects(before, step), `${before.join()} to ${step.join()}`).to.equal(true);
      expect(connects(step, before), `${step.join()} to ${before.join()}`).to.equal(true);
    });
  });

  it('refuses the old key afterwards', () => {
    expect(connects([OLD_KEY], [KEY])).to.equal(false);
    expect(connects([KEY], [OLD_KEY])).to.equal(false);
  });
});
