/** The size and load of a deployment, the inputs of the cost estimate. */
export type Deployment = {
  readonly name: string;
  readonly entries: number;
  readonly backendServers: number;
  readonly regions: number;
  readonly availabilityZones: number;
  readonly baseModels: number;
  readonly adapters: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly changesPerDay: number;
};

const PROJECTED_DEPLOYMENT: Deployment = {
  name: "The letter's size",
  entries: 550,
  backendServers: 12_000,
  regions: 10,
  availabilityZones: 33,
  baseModels: 5,
  adapters: 96_000,
  requestsPerSecond: 18_000,
  tokensPerSecond: 4_200_000,
  changesPerDay: 27_000,
};

/** Scales the load by backend servers and the changes by adapters from the projected deployment. */
function scaleDown(
  deployment: Pick<
    Deployment,
    'name' | 'entries' | 'backendServers' | 'availabilityZones' | 'adapters'
  >,
): Deployment {
  const loadShare = deployment.backendServers / PROJECTED_DEPLOYMENT.backendServers;
  return {
    ...deployment,
    regions: 1,
    baseModels: 1,
    requestsPerSecond: PROJECTED_DEPLOYMENT.requestsPerSecond * loadShare,
    tokensPerSecond: PROJECTED_DEPLOYMENT.tokensPerSecond * loadShare,
    changesPerDay:
      PROJECTED_DEPLOYMENT.changesPerDay * (deployment.adapters / PROJECTED_DEPLOYMENT.adapters),
  };
}

/** The deployments on the capacity page. */
export const DEPLOYMENTS: readonly Deployment[] = [
  PROJECTED_DEPLOYMENT,
  scaleDown({
    name: 'Ixchel today',
    entries: 4,
    backendServers: 12,
    availabilityZones: 4,
    adapters: 3000,
  }),
  scaleDown({
    name: 'Anadolu today',
    entries: 3,
    backendServers: 9,
    availabilityZones: 3,
    adapters: 3000,
  }),
];
