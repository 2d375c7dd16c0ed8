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

function createLinks(
  keys: readonly string[] = [KEY],
  maxUnauthenticatedConnections = 256,
): SidecarLinks {
  let nonces = 0;
  return new SidecarLinks({
    identity: SIDECAR,
    keys,
    maxUnauthenticatedConnections,
    nonce: () => {
      nonces += 1;
      return `s-nonce-${nonces}`;
    },
    status: () => ({ set: SET, report: REPORT }),
  });
}

function refusalDetails(actions: readonly SidecarLinksAction[]): readonly string[] {
  return actions.flatMap((action) => (action.kind === 'refused' ? [action.detail] : []));
}

function framesOf(actions: readonly SidecarLinksAction[]): readonly SidecarFrame[] {
  return actions.flatMap((action) => (action.kind === 'send' ? [action.envelope.frame] : []));
}

/** A peer that sends arbitrary frames to the sidecar on one connection. */
class FrameWriter {
  readonly #links: SidecarLinks;

  readonly #number: number;

  #nextSequence = 0;

  constructor(links: SidecarLinks, number: number) {
    this.#links = links;
    this.#number = number;
    links.accepted(number, 0);
  }

  send(frame: EntryFrame): readonly SidecarLinksAction[] {
    const sequence = this.#nextSequence;
    this.#nextSequence += 1;
    return this.#links.received(this.#number, { sequence, frame }, 0);
  }

  hello(identity = ENTRY, epoch = 1): readonly SidecarLinksAction[] {
    const nonce = 'e-nonce';
    return this.send({ kind: 'hello', version: 1, identity, target: 's', epoch, nonce });
  }

  /** Attempts the handshake with a key and returns the proof frame and the sidecar's actions. */
  authenticate(
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
    return { frame, actions: this.send(frame) };
  }
}

describe('SidecarLinks', () => {
  it('refuses a replayed proof', () => {
    const links = createLinks();
    const { frame, actions } = new FrameWriter(links, 1).authenticate(KEY);
    expect(refusalDetails(actions)).to.deep.equal([]);
    const replay = new FrameWriter(links, 2);
    replay.hello(ENTRY, 1);
    expect(refusalDetails(replay.send(frame))).to.have.length(1);
  });

  it('refuses a forged proof and a reflection of its own proof', () => {
    const links = createLinks();
    expect(
      refusalDetails(new FrameWriter(links, 1).authenticate('a-guess').actions),
    ).to.have.length(1);
    const reflector = new FrameWriter(links, 2);
    const [welcome] = framesOf(reflector.hello());
    const proof = welcome?.kind === 'welcome' ? welcome.proof : '';
    const actions = reflector.send({ kind: 'proof', proof, resume: [], set: SET });
    expect(refusalDetails(actions)).to.have.length(1);
  });

  it('refuses a peer with the sidecar role and an entry that targets another host', () => {
    const links = createLinks();
    const impostor = { ...ENTRY, role: 'sidecar' } as const;
    expect(refusalDetails(new FrameWriter(links, 1).hello(impostor))).to.have.length(1);
    const misrouted = new FrameWriter(links, 2).send({
      kind: 'hello',
      version: 1,
      identity: ENTRY,
      target: 'other',
      epoch: 1,
      nonce: 'n',
    });
    expect(refusalDetails(misrouted)).to.have.length(1);
  });

  it('refuses every frame before the handshake completes, and runs nothing', () => {
    const links = createLinks();
    const frames: readonly EntryFrame[] = [
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
    frames.forEach((frame, index) => {
      const actions = new FrameWriter(links, index).send(frame);
      expect(refusalDetails(actions), frame.kind).to.have.length(1);
      expect(actions.map((action) => action.kind)).not.to.include('run');
    });
    expect(links.unacknowledgedExchangeCount).to.equal(0);
  });

  it('refuses a second hello on a connection', () => {
    const peer = new FrameWriter(createLinks(), 1);
    peer.hello();
    expect(refusalDetails(peer.hello())).to.have.length(1);
  });

  it('limits unauthenticated connections, and accepts new ones once the old ones time out', () => {
    const links = createLinks([KEY], 10);
    const answers = Array.from({ length: 100 }, (_, index) => links.accepted(index, 0));
    expect(answers.filter((actions) => refusalDetails(actions).length > 0)).to.have.length(90);
    links.tick(1000);
    expect(links.accepted(200, 1000)).to.deep.equal([]);
  });

  it("does not let an entry cancel or take over another entry's exchange", () => {
    const links = createLinks();
    const owner = new FrameWriter(links, 1);
    owner.authenticate(KEY);
    const submit: EntryFrame = {
      kind: 'submit',
      exchange: 'x',
      generation: 1,
      budgetMs: 1000,
      echo: 0,
      sinceEchoMs: 0,
      call: { kind: 'mint-key', service: 't/s', tenant: 't' },
    };
    owner.send(submit);
    const other = new FrameWriter(links, 2);
    other.authenticate(KEY, { role: 'entry', host: 'e2', incarnation: 'e2-1' });
    expect([...other.send(CANCEL), ...other.send(submit)]).to.deep.equal([]);
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
    const links = createLinks(sidecarKeys);
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

  it('keeps links working while the sides are at most one step apart', () => {
    const steps = [[OLD_KEY], [OLD_KEY, KEY], [KEY, OLD_KEY], [KEY]] as const;
    steps.slice(1).forEach((step, index) => {
      const before = steps[index]!;
      expect(connects(before, step), `${before.join()} to ${step.join()}`).to.equal(true);
      expect(connects(step, before), `${step.join()} to ${before.join()}`).to.equal(true);
    });
  });

  it('ends with the old key refused', () => {
    expect(connects([OLD_KEY], [KEY])).to.equal(false);
    expect(connects([KEY], [OLD_KEY])).to.equal(false);
  });
});
