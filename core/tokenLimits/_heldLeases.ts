import type { Milliseconds } from '../clock/mod.ts';

type Lease = { tokens: number; readonly expiresAt: Milliseconds };

/** The leases of one tenant at one entry. */
export class HeldLeases {
  #leases: Lease[] = [];

  /** Tokens spent beyond the leases. */
  #debt = 0;

  /** Tokens of expired leases that the issuer has not been told of. */
  #expired = 0;

  /** Returns the tokens at hand; below 0 after an overdraft. */
  tokens(now: Milliseconds): number {
    this.#dropExpired(now);
    return this.#leases.reduce((sum, { tokens }) => sum + tokens, -this.#debt);
  }

  /** Adds a lease, less what was spent beyond earlier ones. */
  add(tokens: number, expiresAt: Milliseconds): void {
    const paid = Math.min(this.#debt, tokens);
    this.#debt -= paid;
    if (tokens > paid) this.#leases.push({ tokens: tokens - paid, expiresAt });
  }

  /** Spends tokens, also beyond the leases. */
  spend(tokens: number, now: Milliseconds): void {
    this.#dropExpired(now);
    let left = tokens;
    for (const lease of this.#leases) {
      const spent = Math.min(lease.tokens, left);
      lease.tokens -= spent;
      left -= spent;
    }
    this.#leases = this.#leases.filter((lease) => lease.tokens > 0);
    this.#debt += left;
  }

  /** Takes the tokens of expired leases, to return them to the issuer. */
  takeExpired(now: Milliseconds): number {
    this.#dropExpired(now);
    const expired = this.#expired;
    this.#expired = 0;
    return expired;
  }

  #dropExpired(now: Milliseconds): void {
    if (this.#leases.every(({ expiresAt }) => expiresAt > now)) return;
    this.#leases
      .filter(({ expiresAt }) => expiresAt <= now)
      .forEach(({ tokens }) => {
        this.#expired += tokens;
      });
    this.#leases = this.#leases.filter(({ expiresAt }) => expiresAt > now);
  }
}
