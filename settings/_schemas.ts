import { isIP } from 'node:net';
import { z } from 'zod';

const LISTED_HOST_FORM = 'must be "entry|sidecar IP:PORT AVAILABILITY_ZONE"';

const MOST_PORT = 65_535;

/** An IP number and a port. */
export type Address = { readonly ip: string; readonly port: number };

function parseAddress(text: string): Address | undefined {
  const colon = text.lastIndexOf(':');
  const ip = text.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  const port = Number(text.slice(colon + 1));
  const isPort = /^\d{1,5}$/.test(text.slice(colon + 1)) && port <= MOST_PORT;
  return isIP(ip) !== 0 && isPort ? { ip, port } : undefined;
}

/** `ip:port`. */
export const address = z
  .string()
  .refine((text) => parseAddress(text) !== undefined, 'must be IP:PORT, such as 127.0.0.1:8080')
  .transform((text) => parseAddress(text)!);

const url = z
  .string()
  .regex(
    /^http:\/\/[0-9a-f.:[\]]+:\d+(\/.*)?$/,
    'must be http://IP:PORT, such as http://127.0.0.1:8500',
  );

const hostName = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'must be lower-case letters, digits, . and -');

const milliseconds = z
  .string()
  .regex(/^\d+(\.\d+)?(ms|s)$/, 'must be a time with its unit, such as 500ms or 2s')
  .transform((text) => Number.parseFloat(text) * (text.endsWith('ms') ? 1 : 1000));

function wholeNumber(least: number, most: number): z.ZodType<number, string> {
  return z
    .string()
    .regex(/^\d+$/, `must be a whole number from ${least} to ${most}`)
    .transform(Number)
    .pipe(z.number().min(least, `must be at least ${least}`).max(most, `must be at most ${most}`));
}

const processSection = z.strictObject({ host: hostName, availability_zone: hostName });

const platformSection = z.strictObject({ configuration: url, host_list: url });

const linkSection = z
  .strictObject({
    key_env: z
      .string()
      .regex(/^[A-Z][A-Z0-9_]*$/, 'must name an environment variable')
      .optional(),
    key_file: z.string().min(1).optional(),
  })
  .refine((section) => (section.key_env === undefined) !== (section.key_file === undefined), {
    path: ['key_env'],
    message: 'or key_file must be given, and not both',
  });

const logSection = z
  .strictObject({
    format: z.enum(['json', 'text']).default('json'),
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  })
  .prefault({});

const listedHost = z
  .string()
  .transform((text) => text.split(/\s+/))
  .pipe(z.tuple([z.enum(['entry', 'sidecar']), address, hostName], LISTED_HOST_FORM))
  .transform(([role, { ip, port }, availabilityZone]) => ({
    role,
    address: `${ip}:${port}`,
    availabilityZone,
  }));

/** The settings of an entry. */
export const entrySchema = z.strictObject({
  process: processSection,
  listen: z.strictObject({ callers: address, admin: address }),
  platform: platformSection,
  link: linkSection,
  limits: z
    .strictObject({
      request_timeout: milliseconds.default(60_000),
      body_bytes: wholeNumber(1024, 2_097_152).default(1_048_576),
      unread_bytes: wholeNumber(16_384, 16_777_216).default(262_144),
    })
    .prefault({}),
  log: logSection,
});

/** The settings of a sidecar. */
export const sidecarSchema = z.strictObject({
  process: processSection,
  listen: z.strictObject({ links: address, admin: address }),
  platform: platformSection,
  link: linkSection,
  backend: z.strictObject({
    kind: z.enum(['engine', 'service']),
    backend_server: hostName,
    url,
  }),
  log: logSection,
});

/** The settings of the stand-ins of one deployment. */
export const standinsSchema = z.strictObject({
  platform: z.strictObject({
    listen: address,
    /** A set that is published at the start, named from the settings file's folder. */
    set: z.string().min(1).optional(),
    generation: wholeNumber(1, Number.MAX_SAFE_INTEGER).default(1),
  }),
  store: z.strictObject({
    loads_per_second: wholeNumber(1, 1000),
    loads_at_once: wholeNumber(1, 1000),
  }),
  engines: z.strictObject({
    listen: z
      .string()
      .transform((text) => text.split(',').map((part) => part.trim()))
      .pipe(z.array(address).min(1)),
    slots: wholeNumber(1, 1000),
    batch_width: wholeNumber(1, 1000).default(16),
  }),
  service: z.strictObject({ listen: address }),
  hosts: z.record(z.string(), listedHost).default({}),
  log: logSection,
});

/** The schemas by the command whose settings they check. */
export const SETTINGS_SCHEMAS = {
  entry: entrySchema,
  sidecar: sidecarSchema,
  standins: standinsSchema,
} as const;

/** A command that reads settings. */
export type SettingsRole = keyof typeof SETTINGS_SCHEMAS;

/** The checked settings of a command. */
export type Settings<R extends SettingsRole> = z.output<(typeof SETTINGS_SCHEMAS)[R]>;
