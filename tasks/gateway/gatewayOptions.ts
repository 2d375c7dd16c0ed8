import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Reach } from '../../core/serverLimits/mod.ts';
import type { LimitBounds } from '../../core/tokenLimits/mod.ts';
import type { SocketReads } from '../../http/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { Dial } from '../ports/mod.ts';
import type { KeyPolicy } from './_callerGate.ts';
import type { RetryBudgetsOptions } from './_retryBudgets.ts';

/** Options of `Gateway`. */
export type GatewayOptions = RetryBudgetsOptions & {
  /** Unique id of this entry process; new at each start. */
  readonly entryId: string;
  readonly availabilityZone: string;
  /** Port on which the keepers listen. */
  readonly keeperPort: number;
  /** Must run scheduled calls after reading the sockets that are readable by then. */
  readonly clock: Clock;
  readonly dial: Dial;
  /** Tells how long ago the callers' sockets were read. @default they always have just been read */
  readonly socketReads?: SocketReads;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this entry among its peers. @default `entryId` */
  readonly peerName?: string | undefined;
  /**
   * Returns the names of the other live entries.
   *
   * @param maxAgeMs Age of the last sign of an entry up to which it is returned. @default as long as it is listed
   */
  readonly peerNames: (maxAgeMs?: Milliseconds) => readonly string[];
  /** Returns the capacity of an entry; 0 if it is unknown. @default always unknown */
  readonly capacityOf?: (name: string) => number;
  /** Returns how many of the known entries are in touch with this one. */
  readonly peerReach: () => Reach;
  /** Called when the other entries should learn of a change of `sharedStates`. */
  readonly onSharedChange: () => void;
  /** Returns a random number from 0 to 1; adds jitter to `Retry-After`. */
  readonly random: () => number;
  /** How keys of callers are checked. @default withdrawn keys are not bound by a time */
  readonly keyPolicy?: KeyPolicy;
  /** Returns the age of the records of the servers. @default they are always the newest ones */
  readonly recordsAgeMs?: () => Milliseconds;
  /** How strictly the token limits of tenants bind, over all entries. @default they are not kept */
  readonly tokenLimitBounds?: LimitBounds;
  /** Number of entries assumed until more are known. @default 1 */
  readonly minKnownEntries?: number;
  /** Whether servers that hold parts of a prompt are preferred. @default true */
  readonly usesPromptCache?: boolean | undefined;
};
