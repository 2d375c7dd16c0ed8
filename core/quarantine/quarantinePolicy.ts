/** When a trait is quarantined, and how verdicts are tested. */
export type QuarantinePolicy = {
  /**
   * Whether simultaneous ends of several servers count each. They may have a cause of their own, which
   * then accuses all that many requests share, but hardly the same single request at each of them.
   */
  readonly countsSimultaneousEnds: boolean;
  /** Ends after which a trait is quarantined, if the service responds to requests without it meanwhile. */
  readonly endsToQuarantine: number;
  /** Ends after which a trait is quarantined even if nothing else was answered, or others have as many. */
  readonly endsBeyondDoubt: number;
  /** The same, counting all servers that ended at the same time. */
  readonly serversBeyondDoubt: number;
  /** Ends from which on only one request with the trait is in flight at a time, and none is repeated. */
  readonly endsToIsolate: number;
  /** Whether the service must respond to other requests before a trait is isolated. */
  readonly needsControlToIsolate: boolean;
  /** Ends from which on the number of trials is limited. */
  readonly manyEnds: number;
  /** Trials after that many ends. */
  readonly maxTrials: number;
};

/** For what many requests share: parts of prompts, adapters and paths. */
export const SHARED_TRAIT_POLICY: QuarantinePolicy = {
  countsSimultaneousEnds: false,
  endsToQuarantine: 3,
  endsBeyondDoubt: 5,
  serversBeyondDoubt: 8,
  endsToIsolate: 2,
  needsControlToIsolate: true,
  manyEnds: 5,
  maxTrials: 2,
};

/** For one request that comes again: a wrong verdict concerns that request alone. */
export const REQUEST_POLICY: QuarantinePolicy = {
  countsSimultaneousEnds: true,
  endsToQuarantine: 3,
  endsBeyondDoubt: 3,
  serversBeyondDoubt: 3,
  endsToIsolate: 2,
  needsControlToIsolate: false,
  manyEnds: 3,
  maxTrials: 2,
};
