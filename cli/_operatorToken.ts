/** Environment variable that holds the operator's bearer token. */
const TOKEN_VARIABLE = 'HYSSOPSPREAD_OPERATOR_TOKEN';

/** Returns the operator's token from the environment, or an empty string. */
export function operatorToken(): string {
  return process.env[TOKEN_VARIABLE] ?? '';
}
