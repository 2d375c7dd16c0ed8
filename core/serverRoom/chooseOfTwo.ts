/**
 * Chooses the cheaper of two random candidates, so that entries which see the same state do not all choose
 * the server that looks empty. Only candidates that cost little more than the cheapest are drawn.
 *
 * @param cost Cost of a candidate, in any unit.
 * @param random Returns a random number from 0 to 1.
 * @param maxExcess Cost above the cheapest up to which a candidate is drawn. The default, in milliseconds, is
 *   less than one more request costs, and less than the prefill of 100 tokens.
 */
export function chooseOfTwo<Candidate>(
  candidates: readonly Candidate[],
  cost: (candidate: Candidate) => number,
  random: () => number,
  maxExcess = 3,
): Candidate | undefined {
  const priced = candidates.map((candidate) => ({ candidate, cost: cost(candidate) }));
  const lowest = priced.reduce((least, each) => Math.min(least, each.cost), Infinity);
  const near = priced.filter((each) => each.cost <= lowest + maxExcess);
  const draw = (): (typeof near)[number] | undefined =>
    near[Math.min(near.length - 1, Math.floor(random() * near.length))];
  const first = draw();
  const second = draw();
  if (first === undefined || second === undefined) return undefined;
  return (first.cost <= second.cost ? first : second).candidate;
}
