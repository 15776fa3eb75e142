// Package claim decides who owns one database group: when to claim the group's
// term, which endpoint becomes the primary, and when to give the group up.
//
// One Machine covers both roles of a daemon towards one group, candidate and
// owner. It is a pure state machine: Step takes a time and an event and returns
// actions for the caller to run; State shows the result. It is not safe for
// concurrent use.
//
// Guarantees, given the platform's guarantees on terms:
//   - At most one holder owns a term, and a term has at most one primary: a
//     failed promotion is followed by a new term, never by a second promotion.
//   - A new primary's log covers every position that a majority had received in
//     an earlier term, because a majority is fenced before the most advanced of
//     its logs is chosen.
//   - No write is confirmed while an earlier owner's lease may hold
//     (State.ConfirmAfter).
//   - Evidence gathered across a stall of the caller starts no claim.
//
// The quorum rules assume that two consecutive endpoint lists of a group differ
// in at most one endpoint.
package claim
