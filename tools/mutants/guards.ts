/** A text replacement that removes a guard from a source file. */
export type Removal = {
  readonly file: string;
  /** Source text of the guard; occurs exactly once in the file. */
  readonly guard: string;
  /** Text that replaces it. */
  readonly without: string;
};

/** A check in the code that keeps an invariant, and the scenarios that must fail without it. */
export type Guard = Removal & {
  readonly name: string;
  /** Redundant guards of the same invariant, removed together with this one. */
  readonly also?: readonly Removal[];
  /** Names of scenarios, at least one of which must fail without the guard. */
  readonly detectedBy: readonly string[];
};

const SIDECAR_LINK = 'core/link/sidecarLink.ts';

const ENTRY_LINK = 'core/link/entryLink.ts';

const LEDGER = 'core/idempotency/ledger.ts';

const ENGINE_RUNNER = 'tasks/sidecar/engineRunner.ts';

const SIDECAR_TASK = 'tasks/sidecar/sidecarTask.ts';

const ENTRY_TASK = 'tasks/entry/entryTask.ts';

/** All guards, each removed in turn by `tools/mutants/main.ts`. */
export const GUARDS: readonly Guard[] = [
  {
    name: 'output of a wrong adapter version is withheld by the sidecar and the entry',
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
    detectedBy: ['wrong-adapter'],
  },
  {
    name: 'token count and digest of the complete answer are checked',
    file: 'tasks/entry/_openRequest.ts',
    guard: 'if (request.tokens === event.tokens && digest === event.digest) return event.outcome;',
    without: 'if (digest !== undefined) return event.outcome;',
    detectedBy: ['silent-link', 'cut-link'],
  },
  {
    name: 'events are accepted only in sequence',
    file: ENTRY_LINK,
    guard: 'if (frame.number !== exchange.nextEvent) return;',
    without: '',
    detectedBy: ['silent-link', 'cut-link', 'paused-entry'],
  },
  {
    name: 'events that the entry has not received are sent again',
    file: SIDECAR_LINK,
    guard: 'frame.resume.forEach((point) => this.#replayEvents(connection, link, point));',
    without: '',
    detectedBy: ['cut-link', 'silent-link', 'paused-entry'],
  },
  {
    name: 'entries are told apart by incarnation',
    file: SIDECAR_LINK,
    // eslint-disable-next-line no-template-curly-in-string
    guard: 'return `${host} ${incarnation}`;',
    without: 'return incarnation === "" ? incarnation : host;',
    detectedBy: ['replaced-entry'],
  },
  {
    name: 'exchanges of a removed entry end as unknown',
    file: SIDECAR_LINK,
    guard: 'const unseen = known === undefined ? [] : findUnseen(link, frame.resume);',
    without: 'const unseen = findUnseen(link, frame.resume);',
    detectedBy: ['forgotten-entry'],
  },
  {
    name: 'silent entries are removed',
    file: SIDECAR_LINK,
    guard: 'this.#removeSilentEntries(now);',
    without: '',
    detectedBy: ['leave-with-dead-entry', 'leave-with-silent-entry'],
  },
  {
    name: 'connections of earlier epochs are fenced off',
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
    detectedBy: ['fenced-call', 'one-way-cut', 'silent-link'],
  },
  {
    name: 'requests of an earlier incarnation end as unknown',
    file: ENTRY_LINK,
    guard: 'this.#endExchangesBeforeRestart(incarnation);',
    without: '',
    detectedBy: ['replaced-sidecar'],
  },
  {
    name: 'requests without a link end after a timeout',
    file: ENTRY_LINK,
    guard: 'this.#endExchangesOfLostLink(now);',
    without: '',
    detectedBy: ['long-partition'],
  },
  {
    name: 'a silent link is suspected and replaced',
    file: ENTRY_LINK,
    guard: 'this.#suspectSilentLink(now);',
    without: '',
    detectedBy: ['silent-link'],
  },
  {
    name: 'the identity of the peer is checked',
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
    detectedBy: ['usurped-address'],
  },
  {
    name: 'the call of an idempotency key runs once',
    file: LEDGER,
    guard: 'if (known !== undefined) return verdictOf(known, callDigest);',
    without: '',
    detectedBy: ['booking-repeated'],
  },
  {
    name: 'keys of an earlier incarnation are rejected',
    file: LEDGER,
    guard: 'if (parts.incarnation !== this.#options.incarnation) {',
    without: 'if (parts.incarnation === "") {',
    detectedBy: ['booking-after-restart'],
  },
  {
    name: 'the call of a revoked key never runs',
    file: LEDGER,
    guard: "this.#addRecord(key, { callDigest: '', state: 'revoked', result: REVOKED });",
    without: '',
    detectedBy: ['revoked-before-late-call'],
  },
  {
    name: 'a lookup before the call does not end the call as not run',
    file: LEDGER,
    guard: 'return NOT_BEGUN;',
    without: 'return { ...NOT_BEGUN, outcome: notRun("not-found", "") };',
    detectedBy: ['lookup-before-late-call'],
  },
  {
    name: 'a lookup that reached no sidecar leaves the outcome of the call unknown',
    file: 'tasks/entry/_keyedOutcome.ts',
    guard: "if (!asksAboutKey || outcome.kind !== 'not-run') return outcome;",
    without: "if (!asksAboutKey || outcome.kind === 'not-run') return outcome;",
    detectedBy: ['lookup-unreachable'],
  },
  {
    name: 'keyed calls are not started on leaving hosts',
    file: ENTRY_TASK,
    guard: 'callForHost(request, this.#mayTakeWork(host))',
    without: 'callForHost(request, true)',
    detectedBy: ['listed-as-leaving'],
  },
  {
    name: 'a leaving sidecar rejects new requests and reports that it is leaving',
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
    detectedBy: ['shutdown-sidecar', 'lagging-host-list'],
  },
  {
    name: 'a sidecar ends only when it has no open requests',
    file: SIDECAR_TASK,
    guard: 'if (!isEmpty || this.#hasReportedDrained || this.#onDrained === undefined) return;',
    without: 'if (this.#hasReportedDrained || this.#onDrained === undefined) return;',
    detectedBy: ['shutdown-sidecar'],
  },
  {
    name: 'an entry ends only when it has no open requests',
    file: ENTRY_TASK,
    guard: 'if (this.#requests.size === 0) this.#onDrained?.();',
    without: 'this.#onDrained?.();',
    detectedBy: ['shutdown-entry'],
  },
  {
    name: 'links to delisted hosts are kept while in use',
    file: 'tasks/entry/_linkTable.ts',
    guard: 'if (hasOpenRequests(link)) this.#retired.add(link);',
    without: 'if (link === undefined) this.#retired.add(link);',
    detectedBy: ['vanished-host', 'moved-host'],
  },
  {
    name: 'unloads wait for streams of an earlier sender',
    file: ENGINE_RUNNER,
    guard: "if (order.kind === 'unload' && this.#hasForeignStreams) {",
    without: "if (order.kind === 'unload' && this.#isSuperseded) {",
    detectedBy: ['paused-sidecar-replaced'],
  },
  {
    name: 'a superseded sender stops sending orders',
    file: ENGINE_RUNNER,
    guard: "if (verdict === 'superseded') {",
    without: 'if (verdict === undefined) {',
    detectedBy: ['paused-sidecar-shares-adapter'],
  },
  {
    name: 'the claim is asserted to the engine',
    file: ENGINE_RUNNER,
    guard: 'this.#assertClaim(state.resident);',
    without: '',
    detectedBy: ['paused-sidecar-shares-adapter'],
  },
  {
    name: 'an adapter is not used after an unload whose reply was lost',
    file: 'tasks/sidecar/orderFence.ts',
    guard: 'if (until > now) return true;',
    without: '',
    detectedBy: ['late-unload-unfenced'],
  },
  {
    name: 'a lost order reply increments the fencing number',
    file: 'tasks/sidecar/orderFence.ts',
    guard: 'this.#nextNumber += 1;',
    without: '',
    detectedBy: ['late-unload'],
  },
  {
    name: 'engine state from before a pause is discarded',
    file: ENGINE_RUNNER,
    guard: 'if (now - this.#lastTickAt <= PAUSE_THRESHOLD_MS) return;',
    without: 'if (now >= this.#lastTickAt) return;',
    detectedBy: ['paused-sidecar-shares-adapter', 'paused-sidecar-engine-restarts'],
  },
  {
    name: 'requests past their deadline are not run',
    file: 'tasks/sidecar/serviceRunner.ts',
    guard: "if (call.kind === 'service-call' && deadline <= now) {",
    without: "if (call.kind === 'service-call' && deadline < 0) {",
    detectedBy: ['late-booking'],
  },
  {
    name: 'the generation never decreases',
    file: ENTRY_TASK,
    guard: 'if (set.generation <= (this.#set?.generation ?? 0)) return;',
    without: '',
    detectedBy: ['configuration-goes-back'],
  },
  {
    name: 'a pinned adapter is not evicted',
    file: 'core/residence/engineScheduler.ts',
    guard: 'slot.pins === 0 && !this.#queues.has(adapterVersion);\n      if (!isEvictable ||',
    without: '!this.#queues.has(adapterVersion);\n      if (!isEvictable ||',
    detectedBy: ['whole-answers'],
  },
];
