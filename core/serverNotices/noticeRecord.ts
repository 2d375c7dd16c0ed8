import type { Milliseconds } from '../clock/mod.ts';

/** One start of a server; a server may start again under its id. */
export type ServerStart = {
  readonly id: string;
  /** Wall-clock time of the start, in milliseconds since the epoch; 0 if unknown. */
  readonly bornAt: Milliseconds;
};

/** What one process passes on to others about a server; times are relative, since clocks differ. */
export type NoticeRecord = ServerStart & {
  readonly isLeaving: boolean;
  /** Time for which the server asks for no further requests; 0 if it does not. */
  readonly pauseLeftMs: Milliseconds;
};
