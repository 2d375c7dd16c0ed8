/** The numbers that a deployment brings to the slopes. */
export type Deployment = {
  readonly name: string;
  readonly entries: number;
  readonly workers: number;
  readonly regions: number;
  readonly availabilityZones: number;
  readonly baseModels: number;
  readonly adapters: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly changesPerDay: number;
};

const LETTER: Deployment = {
  name: "The letter's size",
  entries: 550,
  workers: 12_000,
  regions: 10,
  availabilityZones: 33,
  baseModels: 5,
  adapters: 96_000,
  requestsPerSecond: 18_000,
  tokensPerSecond: 4_200_000,
  changesPerDay: 27_000,
};

/** Scales the letter's load per worker and changes per adapter down to a small deployment. */
function scaleDown(
  size: Pick<Deployment, 'name' | 'entries' | 'workers' | 'availabilityZones' | 'adapters'>,
): Deployment {
  const load = size.workers / LETTER.workers;
  return {
    ...size,
    regions: 1,
    baseModels: 1,
    requestsPerSecond: LETTER.requestsPerSecond * load,
    tokensPerSecond: LETTER.tokensPerSecond * load,
    changesPerDay: LETTER.changesPerDay * (size.adapters / LETTER.adapters),
  };
}

/** The sizes for which the page is worked out. */
export const DEPLOYMENTS: readonly Deployment[] = [
  LETTER,
  scaleDown({
    name: 'Ixchel today',
    entries: 4,
    workers: 12,
    availabilityZones: 4,
    adapters: 3000,
  }),
  scaleDown({
    name: 'Anadolu today',
    entries: 3,
    workers: 9,
    availabilityZones: 3,
    adapters: 3000,
  }),
];
