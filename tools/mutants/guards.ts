/** A change that removes a guard. */
export type Removal = {
  readonly file: string;
  /** Text that occurs once in the file. */
  readonly guard: string;
  readonly without: string;
};

/** A guard of a promise, how to remove it, and the scenarios that must notice. */
export type Guard = Removal & {
  readonly name: string;
  /** Further guards of the same promise, each of which alone would keep it. */
  readonly also?: readonly Removal[];
  /** Scenarios, by name, of which one must go red. */
  readonly noticedBy: readonly string[];
};

const SIDECAR_LINK = 'core/link/sidecarLink.ts';

const ENTRY_LINK = 'core/link/entryLink.ts';

const LEDGER = 'core/idempotency/ledger.ts';

const ENGINE_RUNNER = 'tasks/sidecar/engineRunner.ts';

const SIDECAR_TASK = 'tasks/sidecar/sidecarTask.ts';

const ENTRY_TASK = 'tasks/entry/entryTask.ts';

/** All guards that are tried. */
export const GUARDS: readonly Guard[] = [
  {
    name: 'wrong adapter version withheld by the sidecar and the entry',
    file: ENGINE_RUNNER,
    guard: 'if (servedBy !== adapterVersion) {',
    without: 'if (servedBy === undefined) {',
    also: [
      {
        file: ENTRY_TASK,
        guard: "if (call.kind === 'completion' && event.servedBy !== call.adapterVersion) {",
        without: "if (call.kind === 'completion' && event.servedBy === '') {",
      },
    ],
    noticedBy: ['wrong-adapter'],
  },
  {
    name: 'count and digest of the whole answer',
    file: 'tasks/entry/_openRequest.ts',
    guard: 'if (request.tokens === event.tokens && digest === event.digest) return event.outcome;',
    without: 'if (digest !== undefined) return event.outcome;',
    noticedBy: ['silent-link', 'cut-link'],
  },
  {
    name: 'events taken in their order only',
    file: ENTRY_LINK,
    guard: 'if (frame.number !== exchange.nextEvent) return;',
    without: '',
    noticedBy: ['silent-link', 'cut-link', 'paused-entry'],
  },
  {
    name: 'events sent again that the entry has not seen',
    file: SIDECAR_LINK,
    guard: 'frame.resume.forEach((point) => this.#replayEvents(connection, link, point));',
    without: '',
    noticedBy: ['cut-link', 'silent-link', 'paused-entry'],
  },
  {
    name: 'entries known by incarnation',
    file: SIDECAR_LINK,
    // eslint-disable-next-line no-template-curly-in-string
    guard: 'return `${host} ${incarnation}`;',
    without: 'return incarnation === "" ? incarnation : host;',
    noticedBy: ['replaced-entry'],
  },
  {
    name: 'exchanges of a forgotten entry end as unknown',
    file: SIDECAR_LINK,
    guard: 'const unseen = known === undefined ? [] : findUnseen(link, frame.resume);',
    without: 'const unseen = findUnseen(link, frame.resume);',
    noticedBy: ['forgotten-entry'],
  },
  {
    name: 'silent entries forgotten',
    file: SIDECAR_LINK,
    guard: 'this.#removeSilentEntries(now);',
    without: '',
    noticedBy: ['leave-with-dead-entry', 'leave-with-silent-entry'],
  },
  {
    name: 'earlier epochs fenced',
    file: SIDECAR_LINK,
    guard: "if (previous !== undefined) this.#close(previous, 'replaced by a newer epoch');",
    without: '',
    also: [
      {
        file: SIDECAR_LINK,
        guard: 'if (link.connection !== connection) return;',
        without: '',
      },
    ],
    noticedBy: ['fenced-call', 'one-way-cut', 'silent-link'],
  },
  {
    name: 'requests of an earlier incarnation end as unknown',
    file: ENTRY_LINK,
    guard: 'this.#endExchangesBeforeRestart(incarnation);',
    without: '',
    noticedBy: ['replaced-sidecar'],
  },
  {
    name: 'requests without a link given up',
    file: ENTRY_LINK,
    guard: 'this.#endExchangesOfLostLink(now);',
    without: '',
    noticedBy: ['long-partition'],
  },
  {
    name: 'silence suspected',
    file: ENTRY_LINK,
    guard: 'this.#suspectSilentLink(now);',
    without: '',
    noticedBy: ['silent-link'],
  },
  {
    name: 'identity of the other end checked',
    file: SIDECAR_LINK,
    guard: "if (frame.target !== identity.host || frame.identity.role !== 'entry') {",
    without: "if (frame.identity.role !== 'entry') {",
    also: [
      {
        file: ENTRY_LINK,
        guard: 'if (key === undefined || !isTarget) {',
        without: 'if (key === undefined || isTarget === undefined) {',
      },
    ],
    noticedBy: ['usurped-address'],
  },
  {
    name: 'each key runs once',
    file: LEDGER,
    guard: 'if (known !== undefined) return verdictOf(known, callDigest);',
    without: '',
    noticedBy: ['booking-repeated'],
  },
  {
    name: 'keys of an earlier incarnation refused',
    file: LEDGER,
    guard: 'if (parts.incarnation !== this.#options.incarnation) {',
    without: 'if (parts.incarnation === "") {',
    noticedBy: ['booking-after-restart'],
  },
  {
    name: 'a revoked key never runs',
    file: LEDGER,
    guard: "this.#addRecord(key, { callDigest: '', state: 'revoked', result: REVOKED });",
    without: '',
    noticedBy: ['revoked-before-late-call'],
  },
  {
    name: 'a lookup does not prove that nothing comes',
    file: LEDGER,
    guard: 'return NOT_BEGUN;',
    without: 'return { ...NOT_BEGUN, outcome: notRun("not-found", "") };',
    noticedBy: ['lookup-before-late-call'],
  },
  {
    name: 'a lookup that reached nobody says nothing of the call',
    file: 'tasks/entry/_keyedOutcome.ts',
    guard: "if (!asksAboutKey || outcome.kind !== 'not-run') return outcome;",
    without: "if (!asksAboutKey || outcome.kind === 'not-run') return outcome;",
    noticedBy: ['lookup-unreachable'],
  },
  {
    name: 'keyed calls held back from leaving hosts',
    file: ENTRY_TASK,
    guard: 'callForHost(request, this.#mayTakeWork(host))',
    without: 'callForHost(request, true)',
    noticedBy: ['listed-as-leaving'],
  },
  {
    name: 'a leaving sidecar refuses new work and says so',
    file: SIDECAR_TASK,
    guard: 'if (isNewWork && this.#onDrained !== undefined) {',
    without: 'if (isNewWork && this.#onDrained === null) {',
    also: [
      {
        file: SIDECAR_TASK,
        guard: 'const leaving = this.#onDrained !== undefined ||',
        without: 'const leaving =',
      },
    ],
    noticedBy: ['shutdown-sidecar', 'lagging-host-list'],
  },
  {
    name: 'a sidecar ends only when it is empty',
    file: SIDECAR_TASK,
    guard: 'if (!isEmpty || this.#hasReportedDrained || this.#onDrained === undefined) return;',
    without: 'if (this.#hasReportedDrained || this.#onDrained === undefined) return;',
    noticedBy: ['shutdown-sidecar'],
  },
  {
    name: 'an entry ends only when it is empty',
    file: ENTRY_TASK,
    guard: 'if (this.#requests.size === 0) this.#onDrained?.();',
    without: 'this.#onDrained?.();',
    noticedBy: ['shutdown-entry'],
  },
  {
    name: 'links of hosts off the list kept while used',
    file: 'tasks/entry/_linkTable.ts',
    guard: 'if (hasOpenRequests(link)) this.#retired.add(link);',
    without: 'if (link === undefined) this.#retired.add(link);',
    noticedBy: ['vanished-host', 'moved-host'],
  },
  {
    name: 'unloads wait for streams of an earlier sender',
    file: ENGINE_RUNNER,
    guard: "if (order.kind === 'unload' && this.#hasForeignStreams) {",
    without: "if (order.kind === 'unload' && this.#isSuperseded) {",
    noticedBy: ['paused-sidecar-replaced'],
  },
  {
    name: 'a superseded sender stops',
    file: ENGINE_RUNNER,
    guard: "if (verdict === 'superseded') {",
    without: 'if (verdict === undefined) {',
    noticedBy: ['paused-sidecar-shares-adapter'],
  },
  {
    name: 'a claim is shown to the engine',
    file: ENGINE_RUNNER,
    guard: 'this.#assertClaim(state.resident);',
    without: '',
    noticedBy: ['paused-sidecar-shares-adapter'],
  },
  {
    name: 'an adapter of a lost unload is not used',
    file: 'tasks/sidecar/orderFence.ts',
    guard: 'if (until > now) return true;',
    without: '',
    noticedBy: ['late-unload-unfenced'],
  },
  {
    name: 'a lost order raises the number',
    file: 'tasks/sidecar/orderFence.ts',
    guard: 'this.#number += 1;',
    without: '',
    noticedBy: ['late-unload'],
  },
  {
    name: 'nothing known before a pause is trusted after it',
    file: ENGINE_RUNNER,
    guard: 'if (now - this.#lastTickAt <= PAUSE_THRESHOLD_MS) return;',
    without: 'if (now >= this.#lastTickAt) return;',
    noticedBy: ['paused-sidecar-shares-adapter', 'paused-sidecar-engine-restarts'],
  },
  {
    name: 'late requests not run',
    file: 'tasks/sidecar/serviceRunner.ts',
    guard: "if (call.kind === 'service-call' && deadline <= now) {",
    without: "if (call.kind === 'service-call' && deadline < 0) {",
    noticedBy: ['late-booking'],
  },
  {
    name: 'the generation never goes down',
    file: ENTRY_TASK,
    guard: 'if (set.generation <= (this.#set?.generation ?? 0)) return;',
    without: '',
    noticedBy: ['configuration-goes-back'],
  },
  {
    name: 'a pinned adapter is no victim',
    file: 'core/residence/residence.ts',
    guard: 'slot.pins === 0 && !this.#queues.has(name);\n      if (!isFree ||',
    without: '!this.#queues.has(name);\n      if (!isFree ||',
    noticedBy: ['whole-answers'],
  },
];
