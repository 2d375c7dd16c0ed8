/** The environment variable that holds the operator's token. */
const TOKEN_VARIABLE = 'HYSSOPSPREAD_OPERATOR_TOKEN';

/** Returns the operator's token from the environment, or an empty text. */
export function operatorToken(): string {
  return process.env[TOKEN_VARIABLE] ?? '';
}
