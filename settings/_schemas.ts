import { z } from 'zod';
import { address, name, oneOf, duration, url, integerBetween } from './_values.ts';

export type { Address } from './_values.ts';

const LISTED_HOST_ERROR =
  'must be "entry IP:PORT ZONE" or "sidecar IP:PORT ZONE", such as "sidecar 127.0.0.1:8610 az-1"';

const processSection = z.strictObject({ host: name, availability_zone: name });

const platformSection = z.strictObject({ configuration: url, host_list: url });

const linkSection = z
  .strictObject({
    key_env: z
      .string()
      .regex(
        /^[A-Z][A-Z0-9_]*$/,
        'must be the name of an environment variable, such as HYSSOPSPREAD_LINK_KEY; correct it',
      )
      .optional(),
    key_file: z.string().min(1).optional(),
  })
  .refine((section) => (section.key_env === undefined) !== (section.key_file === undefined), {
    path: ['key_env'],
    message: 'and key_file are mutually exclusive and one is required; set exactly one',
  });

const logSection = z
  .strictObject({
    format: oneOf(['json', 'text']).default('json'),
    level: oneOf(['error', 'warn', 'info', 'debug']).default('info'),
  })
  .prefault({});

const listedHost = z
  .string()
  .transform((text) => text.split(/\s+/))
  .pipe(z.tuple([oneOf(['entry', 'sidecar']), address, name], LISTED_HOST_ERROR))
  .transform(([role, { ip, port }, availabilityZone]) => ({
    role,
    address: `${ip}:${port}`,
    availabilityZone,
  }));

/** Settings of the `entry` command. */
export const entrySchema = z.strictObject({
  process: processSection,
  listen: z.strictObject({ callers: address, admin: address }),
  platform: platformSection,
  link: linkSection,
  limits: z
    .strictObject({
      request_timeout: duration.default(60_000),
      body_bytes: integerBetween(1024, 2_097_152).default(1_048_576),
      unread_bytes: integerBetween(16_384, 16_777_216).default(262_144),
      held_bytes: integerBetween(4_194_304, 17_179_869_184).default(134_217_728),
    })
    .prefault({}),
  log: logSection,
});

/** Settings of the `sidecar` command. */
export const sidecarSchema = z.strictObject({
  process: processSection,
  listen: z.strictObject({ links: address, admin: address }),
  platform: platformSection,
  link: linkSection,
  backend: z.strictObject({
    kind: oneOf(['engine', 'service']),
    backend_server: name,
    url,
  }),
  log: logSection,
});

/** Settings of the `standins` command, which runs the stand-ins of one deployment. */
export const standinsSchema = z.strictObject({
  platform: z.strictObject({
    listen: address,
    /** File of a set to publish at startup, relative to the settings file's folder. */
    set: z.string().min(1).optional(),
    generation: integerBetween(1, Number.MAX_SAFE_INTEGER).default(1),
  }),
  store: z.strictObject({
    loads_per_second: integerBetween(1, 1000),
    loads_at_once: integerBetween(1, 1000),
  }),
  engines: z.strictObject({
    listen: z
      .string()
      .transform((text) => text.split(',').map((part) => part.trim()))
      .pipe(z.array(address).min(1)),
    slots: integerBetween(1, 1000),
    batch_width: integerBetween(1, 10_000).default(16),
    step_time: duration.default(20),
    sequence_microseconds: integerBetween(0, 1_000_000).default(500),
  }),
  service: z.strictObject({ listen: address }),
  hosts: z.record(name, listedHost).default({}),
  log: logSection,
});

/** Settings schemas by command. */
export const SETTINGS_SCHEMAS = {
  entry: entrySchema,
  sidecar: sidecarSchema,
  standins: standinsSchema,
} as const;

/** A command that reads a settings file. */
export type SettingsRole = keyof typeof SETTINGS_SCHEMAS;

/** The validated settings of a command. */
export type Settings<R extends SettingsRole> = z.output<(typeof SETTINGS_SCHEMAS)[R]>;
