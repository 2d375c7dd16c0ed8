import type { Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion, Incarnation } from '../../core/identity/mod.ts';
import type { EngineOrder, EngineState } from '../ports/mod.ts';

/** How to build an `OrderFence`. */
export type OrderFenceOptions = {
  /** Time for which an unload whose reply was lost may still be carried out. @default 60000 */
  readonly lateMs?: Milliseconds;
};

/** What an engine's state means for its sender of orders. */
export type FenceVerdict =
  /** This process is the engine's sender. */
  | 'held'
  /** The engine has restarted, or is met for the first time. */
  | 'claimed'
  /** Another process has sent orders since; this one must send no more. */
  | 'superseded';

/** Keeps a new sender's numbers above those that an earlier one may still have on the way. */
const CLAIM_STRIDE = 1000;

/** Numbers the orders to one engine and remembers those that may still be carried out late. */
export class OrderFence {
  readonly #lateMs: Milliseconds;

  #engine: Incarnation = '';

  #number = 0;

  /** The engine's number when this process met it. */
  #found = 0;

  #highestSent = 0;

  /** Adapter versions of lost unloads, and until when each may be carried out. */
  readonly #doubtful = new Map<AdapterVersion, Milliseconds>();

  constructor(options: OrderFenceOptions = {}) {
    this.#lateMs = options.lateMs ?? 60_000;
  }

  /** Whether an engine has been met. */
  get hasClaimed(): boolean {
    return this.#engine !== '';
  }

  /** Judges the engine's state. */
  judge(state: EngineState): FenceVerdict {
    if (state.incarnation !== this.#engine) {
      this.#engine = state.incarnation;
      this.#found = state.fencingNumber;
      this.#number = state.fencingNumber + CLAIM_STRIDE;
      this.#highestSent = 0;
      return 'claimed';
    }
    const highest = Math.max(this.#found, this.#highestSent);
    return state.fencingNumber > highest ? 'superseded' : 'held';
  }

  /** Returns the number for an order that is sent now. */
  take(): number {
    this.#highestSent = this.#number;
    return this.#number;
  }

  /** Notes that an order's reply was lost; later orders fence it. */
  noteLost(order: Pick<EngineOrder, 'kind' | 'adapterVersion'>, now: Milliseconds): void {
    this.#number += 1;
    if (order.kind === 'unload') this.#doubtful.set(order.adapterVersion, now + this.#lateMs);
  }

  /** Tells whether a lost unload of an adapter version may still be carried out. */
  isDoubtful(adapterVersion: AdapterVersion, now: Milliseconds): boolean {
    const until = this.#doubtful.get(adapterVersion);
    if (until === undefined) return false;
    if (until > now) return true;
    this.#doubtful.delete(adapterVersion);
    return false;
  }
}
