// Package access decides to which team a caller belongs and whether a host may still accept the
// caller's key.
//
// A key that the operator withdraws must stop working on every host within a bound, also on
// hosts that cannot reach the store. A host accepts a statement at time a, read after the
// statement has arrived. Its newest proof that it knows the configuration in force is the answer
// to a read of the store that was sent at time t. It accepts the statement only if a-t is at most
// the bound. If that read did not show a withdrawal, the store acknowledged the withdrawal after
// t, so the caller had sent the statement before the acknowledgement plus the bound. The order of
// these events needs no margin and no synchronized clocks; the host's clock must go on while
// the host is frozen.
package access
