import { sampleDeployment } from '../../../platform/testing/mod.ts';

/** Paths of the routes, by the kind of response that they serve. */
export const PATHS = { stream: '/tale/', resumable: '/long/', plain: '/book/' } as const;

/** The largest body that a request may have. */
export const UPLOAD = Buffer.alloc(4_000_000, 'x');

/** Returns the sample configuration with a route for each kind of response that may have no length. */
export function unframedDeployment(): unknown {
  const sample = sampleDeployment() as {
    readonly routes: readonly Readonly<Record<string, unknown>>[];
    readonly limits: Readonly<Record<string, unknown>>;
  };
  const resumable = sample.routes.find(({ name }) => name === 'r4');
  const stream = { ...resumable, name: 'r5', 'path-prefix': PATHS.stream, resumable: false };
  return {
    ...sample,
    routes: [...sample.routes, stream],
    limits: { ...sample.limits, 'max-body-bytes': UPLOAD.length },
  };
}
