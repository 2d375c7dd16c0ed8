/** A short scenario with every kind of request, sent through two entries. */
export const SWEEP_SESSION = `
entry entry-1
entry entry-2
engine e1
service s1
publish 1
ready
call r1 entry-1 t/a@1 tokens=4 timeout=6000
book b1 entry-1 timeout=6000
again b2 entry-2 b1 timeout=6000
call r2 entry-2 t/b@1 tokens=2 timeout=6000
wait 100
lookup b3 entry-2 b1 timeout=6000
revoke b4 entry-1 b1 timeout=6000
call r3 entry-1 t/c@1 tokens=2 timeout=6000
`;
