/** How a call of a plain service ended. */
export type ServiceReply =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  /** The call did not reach the service. */
  | { readonly kind: 'unreached'; readonly detail: string }
  /** The call may have run. */
  | { readonly kind: 'lost'; readonly detail: string };

/** A plain service as a sidecar uses it. */
export type PlainService = {
  /** Calls the service once; never rejects and never repeats the call. */
  readonly call: (body: string) => Promise<ServiceReply>;
};
