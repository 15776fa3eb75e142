// Package quota keeps the operations of a team within its limit over all hosts together,
// without a central counter.
//
// A few hosts lend tokens for a team: the first voters of the electorate in rendezvous order for
// the team's name. Each of them has an equal share of the team's rate and burst in a token bucket.
// A host takes a token for each operation that it sends to an endpoint. It borrows tokens in
// portions, which expire.
//
// Guarantee: the operations of a team for which tokens are taken in any window of length
// Rules.Window do not exceed Rules.Allowed of its limit. An operation takes its token after its
// caller has sent it and before an endpoint receives it, so that the guarantee also holds for the
// operations that are both sent and received within a window. It holds provided that
//
//   - a host lends only while its knowledge of the electorate is at most RoleDelay old (package
//     permission). The permission must be checked before Lender.Lend is called, and
//     Lender.SetElectorate must be called before a permission that rests on newer knowledge is
//     used;
//   - the clocks go on while a host is frozen, and do not drift apart noticeably within seconds.
//
// Two hosts never lend the same share. A host that ceases to be a lender by a change of the
// electorate has stopped at most RoleDelay after the change was completed, since it knows the
// change from then on (package electorate). A host that becomes a lender waits for RoleDelay
// after it has learned of the completion, and so does one that cannot tell whether another
// electorate was completed since the one that it knew. Its bucket starts empty, so that what it lends adds
// up with what its predecessor, or its own earlier incarnation, has lent. A share that rises
// because there are fewer voters takes effect after the same delay.
package quota
