import type { Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion, Incarnation } from '../../core/identity/mod.ts';
import type { EngineOrder, EngineState } from '../ports/mod.ts';

/** Options of an `OrderFence`. */
export type OrderFenceOptions = {
  /** Time for which the engine may still execute an unload whose reply was lost. @default 60000 */
  readonly lateUnloadMs?: Milliseconds;
};

/** Whether this process may send orders to an engine, according to the engine's state. */
export type FenceVerdict =
  /** This process holds the fence. */
  | 'held'
  /** This process has just claimed the fence of a new or restarted engine. */
  | 'claimed'
  /** Another process has sent orders since; this one must stop. */
  | 'superseded';

/** Gap that keeps a new sender's numbers above those of an earlier sender's orders in transit. */
const CLAIM_STRIDE = 1000;

/** Issues fencing numbers for orders to one engine and tracks unloads that may execute late. */
export class OrderFence {
  readonly #lateMs: Milliseconds;

  #engineIncarnation: Incarnation = '';

  /** Fencing number of the next order. */
  #nextNumber = 0;

  /** The engine's fencing number at the claim. */
  #numberAtClaim = 0;

  /** Highest fencing number sent since the claim; 0 before the first order. */
  #highestSent = 0;

  /** Adapter versions of unloads without a reply, and until when each may still execute. */
  readonly #lostUnloads = new Map<AdapterVersion, Milliseconds>();

  constructor(options: OrderFenceOptions = {}) {
    this.#lateMs = options.lateUnloadMs ?? 60_000;
  }

  /** Whether this process has claimed an engine before. */
  get hasClaimed(): boolean {
    return this.#engineIncarnation !== '';
  }

  /** Checks the engine's state; claims the fence if the engine is new or has restarted. */
  check(state: EngineState): FenceVerdict {
    if (state.incarnation !== this.#engineIncarnation) {
      this.#engineIncarnation = state.incarnation;
      this.#numberAtClaim = state.fencingNumber;
      this.#nextNumber = state.fencingNumber + CLAIM_STRIDE;
      this.#highestSent = 0;
      return 'claimed';
    }
    const highest = Math.max(this.#numberAtClaim, this.#highestSent);
    return state.fencingNumber > highest ? 'superseded' : 'held';
  }

  /** Returns the fencing number for an order that is sent now. */
  nextNumber(): number {
    this.#highestSent = this.#nextNumber;
    return this.#nextNumber;
  }

  /** Records that an order's reply was lost; later orders carry a higher number and fence it. */
  recordLostOrder(order: Pick<EngineOrder, 'kind' | 'adapterVersion'>, now: Milliseconds): void {
    this.#nextNumber += 1;
    if (order.kind === 'unload') this.#lostUnloads.set(order.adapterVersion, now + this.#lateMs);
  }

  /** Tells whether the engine may still execute a lost unload of an adapter version. */
  mayStillUnload(adapterVersion: AdapterVersion, now: Milliseconds): boolean {
    const until = this.#lostUnloads.get(adapterVersion);
    if (until === undefined) return false;
    if (until > now) return true;
    this.#lostUnloads.delete(adapterVersion);
    return false;
  }
}
