import { isIP } from 'node:net';
import { z } from 'zod';

const MAX_PORT = 65_535;

const MILLISECONDS_PER_UNIT = { ms: 1, s: 1000, m: 60_000 } as const;

const MAX_DURATION_MS = 3_600_000;

/** An IP address and a port. */
export type Address = { readonly ip: string; readonly port: number };

function splitAddress(text: string): { readonly ip: string; readonly port: string } {
  const colon = text.lastIndexOf(':');
  if (colon < 0) return { ip: text, port: '' };
  return { ip: text.slice(0, colon).replace(/^\[(.*)\]$/, '$1'), port: text.slice(colon + 1) };
}

/** Returns what is wrong with an address and the remedy, or `undefined` if it is valid. */
function findAddressProblem(text: string, minPort: number): string | undefined {
  const { ip, port } = splitAddress(text);
  if (port === '') return 'must be IP:PORT, such as 127.0.0.1:8080; add the port';
  if (isIP(ip) === 0) {
    return 'must begin with an IP address, such as 127.0.0.1; replace the host name by its IP address';
  }
  const isValidPort = /^\d{1,5}$/.test(port) && Number(port) >= minPort && Number(port) <= MAX_PORT;
  return isValidPort ? undefined : `must end in a port from ${minPort} to ${MAX_PORT}; correct it`;
}

/** `ip:port`, with IPv6 addresses in brackets; port 0 selects a free port. */
export const address = z
  .string()
  .superRefine((text, context) => {
    const problem = findAddressProblem(text, 0);
    if (problem !== undefined) context.addIssue({ code: 'custom', message: problem });
  })
  .transform((text): Address => {
    const { ip, port } = splitAddress(text);
    return { ip, port: Number(port) };
  });

/** `http://ip:port`, with an optional path. */
export const url = z.string().superRefine((text, context) => {
  const authority = /^http:\/\/([^/]+)(\/.*)?$/.exec(text)?.[1];
  const problem =
    authority === undefined
      ? 'must be http://IP:PORT, such as http://127.0.0.1:8500; correct it'
      : findAddressProblem(authority, 1);
  if (problem !== undefined) context.addIssue({ code: 'custom', message: problem });
});

/** The name of a host, a backend server or an availability zone. */
export const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]*$/,
    'must be lower-case letters, digits, . and -, such as entry-1; correct the name',
  );

/** A duration with its unit, converted to milliseconds. */
export const duration = z
  .string()
  .regex(
    /^\d+(\.\d+)?(ms|s|m)$/,
    'must be a duration with a unit, such as 500ms or 2s; add the unit',
  )
  .transform((text) => {
    const unit = /[a-z]+$/.exec(text)?.[0] as keyof typeof MILLISECONDS_PER_UNIT;
    return Number.parseFloat(text) * MILLISECONDS_PER_UNIT[unit];
  })
  .pipe(
    z
      .number()
      .min(1, 'must be from 1ms to 60m; correct it')
      .max(MAX_DURATION_MS, 'must be from 1ms to 60m; correct it'),
  );

/** An integer between two bounds, both included. */
export function integerBetween(min: number, max: number): z.ZodType<number, string> {
  const message = `must be a whole number from ${min} to ${max}; correct it`;
  return z
    .string()
    .regex(/^\d+$/, message)
    .transform(Number)
    .pipe(z.number().min(min, message).max(max, message));
}

/** One of a fixed set of strings. */
export function oneOf<const W extends string>(values: readonly [W, ...W[]]): z.ZodType<W, string> {
  const error = `must be one of ${values.join(', ')}; correct it`;
  return z.string().pipe(z.literal(values, { error }));
}
