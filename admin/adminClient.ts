import { request } from 'undici';

/** The result of a request to the administration API. */
export type AdminResult =
  | { readonly kind: 'answer'; readonly value: unknown }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'silent'; readonly detail: string };

/** Options of `readAdmin`. */
export type ReadAdminOptions = {
  /** The operator's token; empty sends none. @default '' */
  readonly token?: string;
};

const TIMEOUT_MS = 5000;

const FIRST_ERROR_STATUS = 400;

/**
 * Sends a GET request to a process's administration API.
 *
 * @param url `http://ip:port` of the process.
 * @param path The path to read, such as `/admin/v1/status`.
 */
export async function readAdmin(
  url: string,
  path: string,
  options: ReadAdminOptions = {},
): Promise<AdminResult> {
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
    return { kind: 'silent', detail: `no response (${String(error)}); check the address` };
  }
}
