import { isIP } from 'node:net';
import { z } from 'zod';

const MAX_PORT = 65_535;

const MILLISECONDS_PER_UNIT = { ms: 1, s: 1000, m: 60_000 } as const;

const MAX_TIME_MS = 3_600_000;

/** An IP number and a port. */
export type Address = { readonly ip: string; readonly port: number };

function splitAddress(text: string): { readonly ip: string; readonly port: string } {
  const colon = text.lastIndexOf(':');
  if (colon < 0) return { ip: text, port: '' };
  return { ip: text.slice(0, colon).replace(/^\[(.*)\]$/, '$1'), port: text.slice(colon + 1) };
}

/** Says what is wrong with an address, if anything, and the remedy. */
function findAddressProblem(text: string, leastPort: number): string | undefined {
  const { ip, port } = splitAddress(text);
  if (port === '') return 'must be IP:PORT, such as 127.0.0.1:8080; add the port';
  if (isIP(ip) === 0) {
    return 'must begin with an IP number, such as 127.0.0.1; write the number, not a name';
  }
  const isPort = /^\d{1,5}$/.test(port) && Number(port) >= leastPort && Number(port) <= MAX_PORT;
  return isPort ? undefined : `must end in a port from ${leastPort} to ${MAX_PORT}; correct it`;
}

/** `ip:port`; port 0 takes a free one. */
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

/** `http://ip:port`, with a path if wanted. */
export const url = z.string().superRefine((text, context) => {
  const place = /^http:\/\/([^/]+)(\/.*)?$/.exec(text)?.[1];
  const problem =
    place === undefined
      ? 'must be http://IP:PORT, such as http://127.0.0.1:8500; correct it'
      : findAddressProblem(place, 1);
  if (problem !== undefined) context.addIssue({ code: 'custom', message: problem });
});

/** The name of a host or an availability zone. */
export const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]*$/,
    'must be lower-case letters, digits, . and -, such as entry-1; correct the name',
  );

/** A time with its unit. */
export const time = z
  .string()
  .regex(/^\d+(\.\d+)?(ms|s|m)$/, 'must be a time with its unit, such as 500ms or 2s; add the unit')
  .transform((text) => {
    const unit = /[a-z]+$/.exec(text)?.[0] as keyof typeof MILLISECONDS_PER_UNIT;
    return Number.parseFloat(text) * MILLISECONDS_PER_UNIT[unit];
  })
  .pipe(
    z
      .number()
      .min(1, 'must be from 1ms to 60m; correct it')
      .max(MAX_TIME_MS, 'must be from 1ms to 60m; correct it'),
  );

/** A whole number between two bounds. */
export function wholeNumber(least: number, most: number): z.ZodType<number, string> {
  const message = `must be a whole number from ${least} to ${most}; correct it`;
  return z
    .string()
    .regex(/^\d+$/, message)
    .transform(Number)
    .pipe(z.number().min(least, message).max(most, message));
}

/** One of a few words. */
export function oneOf<const W extends string>(words: readonly [W, ...W[]]): z.ZodType<W, string> {
  const error = `must be one of ${words.join(', ')}; correct it`;
  return z.string().pipe(z.literal(words, { error }));
}
