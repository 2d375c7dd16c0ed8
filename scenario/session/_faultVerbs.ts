import { ScenarioError } from '../language/mod.ts';
import type { ScenarioLine } from '../language/mod.ts';
import type { WorldProcess } from '../world/mod.ts';
import type { EntryTask } from '../../tasks/entry/mod.ts';
import type { SidecarTask } from '../../tasks/sidecar/mod.ts';
import type { Session } from './session.ts';
import { findNamed, parseNumber, wordAt } from './_verb.ts';
import type { Verb, VerbTable } from './_verb.ts';

type Process = WorldProcess<EntryTask> | WorldProcess<SidecarTask>;

function processOf(session: Session, line: ScenarioLine): Process {
  const host = wordAt(line, 0);
  return session.entries.get(host) ?? findNamed(line, session.sidecars, host).process;
}

/** Returns a verb that injects a fault into the process that its line names. */
function createProcessVerb(verb: string, run: (process: Process) => void): Verb {
  return {
    usage: `${verb} HOST`,
    words: [1, 1],
    run: (session, line) => {
      session.observer.recordFault(wordAt(line, 0));
      run(processOf(session, line));
    },
  };
}

/** Starts a new incarnation; kills the previous one unless it is paused. */
function replaceProcess(session: Session, line: ScenarioLine): void {
  const host = wordAt(line, 0);
  session.observer.recordFault(host);
  const previous = processOf(session, line);
  if (!previous.gate.isPaused) previous.kill();
  const sidecar = session.sidecars.get(host);
  session.observer.recordReturn(host);
  if (sidecar === undefined) session.startEntry(host);
  else sidecar.process = session.world.startSidecar(host, sidecar.backend);
}

function resumeAll(session: Session, host: string): void {
  session.paused.get(host)?.forEach(({ gate }) => gate.resume());
  session.paused.delete(host);
}

const CONFIGURATION_CHANGES: Readonly<Record<string, (session: Session) => void>> = {
  down: (session) => session.world.configuration.setDown(true),
  up: (session) => session.world.configuration.setDown(false),
  stale: (session) => session.setStale(true),
  fresh: (session) => session.setStale(false),
};

/** Changes the path between two hosts, in both directions or only from the first to the second. */
function changePath(
  session: Session,
  line: ScenarioLine,
  change: (from: string, to: string) => void,
): void {
  const [a = '', b = '', direction] = line.words;
  session.observer.recordFault(a, b);
  change(a, b);
  if (direction === undefined) change(b, a);
}

function shutDown(session: Session, line: ScenarioLine): void {
  const host = wordAt(line, 0);
  const process = processOf(session, line);
  session.observer.recordShutdown(host);
  let callbackCount = 0;
  process.task.leave(() => {
    callbackCount += 1;
    if (callbackCount > 1) return;
    session.record(`${host} is empty`);
    process.kill();
  });
}

function markLeaving(session: Session, host: string): void {
  session.directory.markLeaving(host);
  session.world.clock.schedule(session.directory.delayMs, () =>
    session.observer.recordLeaving(host),
  );
}

/** Verbs that inject and clear faults. */
export const FAULT_VERBS: VerbTable = {
  kill: createProcessVerb('kill', (process) => process.kill()),
  pause: {
    usage: 'pause HOST',
    words: [1, 1],
    run: (session, line) => {
      const host = wordAt(line, 0);
      session.observer.recordFault(host);
      const process = processOf(session, line);
      process.gate.pause();
      session.paused.set(host, [...(session.paused.get(host) ?? []), process]);
    },
  },
  wake: {
    usage: 'wake HOST',
    words: [1, 1],
    run: (session, line) => resumeAll(session, wordAt(line, 0)),
  },
  replace: { usage: 'replace HOST', words: [1, 1], run: replaceProcess },
  cut: {
    usage: 'cut HOST HOST [one-way]',
    words: [2, 3],
    run: (session, line) =>
      changePath(session, line, (from, to) => session.world.network.cut(from, to)),
  },
  heal: {
    usage: 'heal HOST HOST [one-way]',
    words: [2, 3],
    run: (session, line) =>
      changePath(session, line, (from, to) => session.world.network.heal(from, to)),
  },
  silence: {
    usage: 'silence HOST HOST',
    words: [2, 2],
    run: (session, line) => {
      const [a = '', b = ''] = line.words;
      session.observer.recordFault(a, b);
      session.world.network.silence(a, b);
    },
  },
  restart: {
    usage: 'restart HOST',
    words: [1, 1],
    run: (session, line) => {
      session.observer.recordFault(wordAt(line, 0));
      findNamed(line, session.sidecars, wordAt(line, 0)).engine?.restart();
    },
  },
  store: {
    usage: 'store fail COUNT | store slow FACTOR',
    words: [2, 2],
    run: ({ store }, line) => {
      const value = parseNumber(line, wordAt(line, 1));
      if (wordAt(line, 0) === 'fail') store.failNext(value);
      else store.slowDown(value);
    },
  },
  configuration: {
    usage: `configuration ${Object.keys(CONFIGURATION_CHANGES).join('|')}`,
    words: [1, 1],
    run: (session, line) => {
      const change = CONFIGURATION_CHANGES[wordAt(line, 0)];
      const allowed = Object.keys(CONFIGURATION_CHANGES).join(', ');
      if (change === undefined) throw new ScenarioError(line, `use one of: ${allowed}`);
      change(session);
    },
  },
  'lose-orders': {
    usage: 'lose-orders HOST COUNT [late=MILLISECONDS]',
    words: [2, 2],
    options: ['late'],
    run: (session, line) => {
      const { faults } = findNamed(line, session.sidecars, wordAt(line, 0));
      faults.lost = parseNumber(line, wordAt(line, 1));
      faults.executionDelayMs = parseNumber(line, line.options.late);
    },
  },
  'lose-replies': {
    usage: 'lose-replies HOST COUNT',
    words: [2, 2],
    run: (session, line) =>
      findNamed(line, session.sidecars, wordAt(line, 0)).service?.loseReplies(
        parseNumber(line, wordAt(line, 1)),
      ),
  },
  // Makes an engine report another adapter version in its answers, or the right one again.
  impersonate: {
    usage: 'impersonate HOST [MODEL]',
    words: [1, 2],
    run: (session, line) =>
      findNamed(line, session.sidecars, wordAt(line, 0)).engine?.impersonate(line.words[1]),
  },
  // Kills the sidecar at an address and starts one with another host's identity there.
  usurp: {
    usage: 'usurp ADDRESS HOST',
    words: [2, 2],
    run: (session, line) => {
      const { backend, process } = findNamed(line, session.sidecars, wordAt(line, 0));
      session.observer.recordFault(wordAt(line, 0));
      process.kill();
      session.world.startSidecar(wordAt(line, 1), backend, wordAt(line, 0));
    },
  },
  'delay-hosts': {
    usage: 'delay-hosts MILLISECONDS',
    words: [1, 1],
    run: ({ directory }, line) => {
      directory.delayMs = parseNumber(line, wordAt(line, 0));
    },
  },
  leave: {
    usage: 'leave HOST',
    words: [1, 1],
    run: (session, line) => markLeaving(session, wordAt(line, 0)),
  },
  unlist: {
    usage: 'unlist HOST',
    words: [1, 1],
    run: (session, line) => {
      const host = wordAt(line, 0);
      session.directory.remove(host);
      session.world.clock.schedule(session.directory.delayMs, () =>
        session.observer.recordLeaving(host),
      );
    },
  },
  list: {
    usage: 'list HOST [ADDRESS]',
    words: [1, 2],
    run: (session, line) => {
      session.observer.recordReturn(wordAt(line, 0));
      session.directory.add(wordAt(line, 0), line.words[1]);
    },
  },
  shutdown: { usage: 'shutdown HOST', words: [1, 1], run: shutDown },
};
