import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import { ServerView } from '../../core/dispatch/mod.ts';
import { NoticeRegistry } from '../../core/serverNotices/mod.ts';
import { ServerAccess } from './_serverAccess.ts';

function createView(id: string, state: 'ready' | 'draining' = 'ready'): ServerView {
  return new ServerView({
    id,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z1',
    softwareVersion: id.startsWith('new') ? 'v2' : 'v1',
    slots: 8,
    state,
    holdings: [],
    bornAt: 1,
  });
}

function createAccess(): { readonly access: ServerAccess; readonly notices: NoticeRegistry } {
  const notices = new NoticeRegistry({
    onLeaving: () => undefined,
    onPause: () => undefined,
    onChange: () => undefined,
  });
  return { access: new ServerAccess({ clock: createVirtualClock(), notices }), notices };
}

describe('ServerAccess', () => {
  it('passes over servers that drain, leave, pause or were tried, and counts them', () => {
    const { access, notices } = createAccess();
    const views = ['sound', 'leaving', 'paused', 'longer', 'tried'].map((id) => createView(id));
    notices.noteLeaving({ id: 'leaving', bornAt: 1 }, 'answer', 0);
    notices.notePause({ id: 'paused', bornAt: 1 }, 400, 0);
    notices.notePause({ id: 'longer', bornAt: 1 }, 900, 0);
    const { open, blocks, pauseLeftMs } = access.select(
      [...views, createView('draining', 'draining')],
      { triedServerIds: new Set(['tried']) },
    );
    expect(open.map(({ server }) => server.id)).to.deep.equal(['sound']);
    expect([...blocks]).to.have.deep.members([
      ['leaving', 1],
      ['paused', 2],
      ['tried', 1],
      ['draining', 1],
    ]);
    expect(pauseLeftMs).to.equal(400);
  });

  it('passes over servers of another software version, and tells when there is no other', () => {
    const { access } = createAccess();
    const views = [createView('old-1'), createView('new-1'), createView('new-2')];
    const selected = access.select(views, { streamVersion: 'v2' });
    expect(selected.open.map(({ server }) => server.id)).to.deep.equal(['new-1', 'new-2']);
    expect(selected.hasNoVersion).to.equal(false);
    expect(access.select(views, { streamVersion: 'v3' }).hasNoVersion).to.equal(true);
    expect(access.select([], { streamVersion: 'v3' }).hasNoVersion).to.equal(false);
  });

  it('does not count the version as gone when its servers were tried', () => {
    const { access } = createAccess();
    const request = { streamVersion: 'v2', triedServerIds: new Set(['new-1']) };
    const { open, hasNoVersion } = access.select(
      [createView('old-1'), createView('new-1')],
      request,
    );
    expect(open).to.deep.equal([]);
    expect(hasNoVersion).to.equal(false);
  });
});
