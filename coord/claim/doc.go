// Package claim decides which daemon owns one database group: when a daemon claims a
// new term of the group, which endpoint becomes the primary, and when the daemon gives
// the group up.
//
// One Machine covers both roles of a daemon in one group, candidate and owner. It is a
// pure state machine: Step takes a time and an event and returns actions for the caller
// to run; State returns the resulting state. It is not safe for concurrent use.
//
// A claim goes through these phases: pre-votes of the other candidates on whether the
// owner is alive, a survey of the endpoints' terms, the advance of a majority of the
// endpoints to a new term, the promotion of one of them, and the wait until a majority
// has received the marker, the first log entry of the term. After a handover, and to
// replace the primary of an owned group, a claim starts with the advance.
//
// Guarantees, given the platform's guarantees on terms:
//   - At most one holder owns a term, and a term has at most one primary: after a
//     failed promotion the daemon claims a new term and never promotes again in the
//     old one.
//   - A new primary's log covers every position that a majority had received in
//     an earlier term, because the claim fences a majority before it chooses the
//     most advanced log of that majority.
//   - No write is confirmed while an earlier owner's lease may be valid
//     (State.ConfirmAfter).
//   - Heartbeats and answers that the daemon missed while its caller stalled never
//     lead to a claim.
//
// The quorum rules assume that two consecutive endpoint lists of a group differ
// in at most one endpoint.
package claim
