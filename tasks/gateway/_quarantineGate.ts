import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Admission, Trait } from '../../core/quarantine/mod.ts';
import type { CrashGuard } from './_crashGuard.ts';
import type { OpenRequest, RequestEnd } from './_openRequest.ts';
import { respondLocally } from './_respondLocally.ts';

/** Options of `QuarantineGate`. */
export type QuarantineGateOptions = {
  readonly clock: Clock;
  readonly guard: CrashGuard;
  /** Chooses a server for a request and sends it. */
  readonly dispatch: (request: OpenRequest) => void;
  /** Refuses a request that waited too long for its turn. */
  readonly refuse: (request: OpenRequest) => void;
  /** Aborts a response that has begun. */
  readonly abortResponse: (request: OpenRequest) => void;
  /** Ends a request that has its final response. */
  readonly finish: (request: OpenRequest, end: RequestEnd, reason: string) => void;
};

/** Interval at which a request checks whether it may be sent while another one with the same suspect trait runs. */
const TURN_RECHECK_MS: Milliseconds = 40;

/** Time from its arrival after which such a request is refused. */
const MAX_TURN_WAIT_MS: Milliseconds = 600;

/** Lets a request on to the servers, holds it, or ends it, by what the crash guard knows of its traits. */
export class QuarantineGate {
  readonly #options: QuarantineGateOptions;

  constructor(options: QuarantineGateOptions) {
    this.#options = options;
  }

  /** Tells whether a request may be sent now; if not, ends it or dispatches it again later. */
  isAdmitted(request: OpenRequest): boolean {
    const { guard } = this.#options;
    const handlers: Readonly<Record<Admission['kind'], () => boolean>> = {
      send: () => {
        // It ran on a server that ended, and shares a trait with earlier ends: not worth another server.
        const isSuspect = request.mayHaveRunCount > 0 && guard.isIsolated(request);
        if (isSuspect) this.reject(request);
        return !isSuspect;
      },
      trial: () => true,
      wait: () => {
        this.#awaitTurn(request);
        return false;
      },
      reject: () => {
        this.reject(request);
        return false;
      },
    };
    return handlers[guard.admit(request).kind]();
  }

  /** Ends a request that would crash its server, unless its response has begun. */
  reject(request: OpenRequest): void {
    const { abortResponse, finish } = this.#options;
    const reason = 'quarantined';
    if (request.caller.response.hasBegun()) {
      if (request.attempt === undefined) abortResponse(request);
    } else if (request.attempt !== undefined || request.mayHaveRunCount > 0) {
      respondLocally(request.caller, 'unknown');
      finish(request, 'unknown', reason);
    } else {
      // No `Retry-After`: nobody knows when another attempt would succeed.
      respondLocally(request.caller, 'refused');
      finish(request, 'refused', reason);
    }
  }

  /** Ends all requests with a trait whose responses have not begun. */
  rejectAll(trait: Trait, requests: Iterable<OpenRequest>): void {
    [...requests]
      .filter((request) => this.#options.guard.hasTrait(request, trait))
      .forEach((request) => this.reject(request));
  }

  #awaitTurn(request: OpenRequest): void {
    const { clock, refuse, dispatch } = this.#options;
    request.isAwaitingAdapter = false;
    if (clock.now() - request.acceptedAt > MAX_TURN_WAIT_MS) {
      refuse(request);
      return;
    }
    request.timers.push(
      clock.schedule(TURN_RECHECK_MS, () => {
        if (!request.isFinished) dispatch(request);
      }),
    );
  }
}
