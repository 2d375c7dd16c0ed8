import { request } from 'undici';

/** What a process answered, or why it did not. */
export type AdminReading =
  | { readonly kind: 'answer'; readonly value: unknown }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'silent'; readonly detail: string };

/** How to read the administration API. */
export type ReadAdminOptions = {
  /** The operator's token; empty sends none. @default '' */
  readonly token?: string;
};

const TIMEOUT_MS = 5000;

const FIRST_ERROR_STATUS = 400;

/**
 * Reads one address of a process's administration API.
 *
 * @param url `http://ip:port` of the process.
 * @param path What to read, such as `/admin/v1/status`.
 */
export async function readAdmin(
  url: string,
  path: string,
  options: ReadAdminOptions = {},
): Promise<AdminReading> {
  const { token = '' } = options;
  try {
    const response = await request(`${url}${path}`, {
      headers: token === '' ? {} : { authorization: `Bearer ${token}` },
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const value: unknown = await response.body.json();
    if (response.statusCode < FIRST_ERROR_STATUS) return { kind: 'answer', value };
    return { kind: 'refused', detail: `${response.statusCode} ${JSON.stringify(value)}` };
  } catch (error) {
    return { kind: 'silent', detail: `no answer (${String(error)}); check its address` };
  }
}
