package metrics

// Name is the name of a counter, gauge or histogram. This file lists every name that
// the daemon uses. Refusals and retries have one counter for each reason.
type Name string

// Refusals, by reason. The request was not run (Refused) or its outcome is unknown
// (Unknown). A read whose answer was lost counts as refused.
const (
	RefusedNotOwner         Name = "refused.not_owner"
	RefusedWrongIncarnation Name = "refused.wrong_incarnation"
	RefusedLeaseExpired     Name = "refused.lease_expired"
	RefusedNoOwner          Name = "refused.no_owner"
	RefusedDeadline         Name = "refused.deadline"
	RefusedExpectedWait     Name = "refused.expected_wait"
	RefusedDraining         Name = "refused.draining"
	RefusedSessionState     Name = "refused.session_state"
	RefusedProtocol         Name = "refused.protocol"
	RefusedOversize         Name = "refused.oversize"
	RefusedUnknownPool      Name = "refused.unknown_pool"
	RefusedTransactionLost  Name = "refused.transaction_lost"
	RefusedConnect          Name = "refused.connect"
	RefusedNeverRun         Name = "refused.never_run"
	RefusedRequestKey       Name = "refused.request_key"
	UnknownOwnerLost        Name = "unknown.owner_lost"
	UnknownTermChanged      Name = "unknown.term_changed"
	UnknownEndpointLost     Name = "unknown.endpoint_lost"
	// UnknownPrimaryReplaced counts writes that an endpoint answered with success after this
	// host had stopped using it as the primary.
	UnknownPrimaryReplaced Name = "unknown.primary_replaced"
	UnknownConfirmTimeout  Name = "unknown.confirm_timeout"
	UnknownCanceled        Name = "unknown.canceled"
	RefusedTooManyCallers  Name = "refused.too_many_callers"
	RefusedCanceled        Name = "refused.canceled"
	RefusedNoPrimary       Name = "refused.no_primary"
	// RefusedReplay counts statements whose session state each endpoint that was tried has refused.
	RefusedReplay          Name = "refused.replay"
	RefusedIdleTransaction Name = "refused.idle_transaction"
	RefusedReadLost        Name = "refused.read_lost"
	UnknownTimeout         Name = "unknown.timeout"
	// RefusedOutdatedConfiguration counts callers whose database is not in a configuration
	// that may be outdated.
	RefusedOutdatedConfiguration Name = "refused.outdated_configuration"
	// RefusedQuota counts operations beyond the limit of their team, RefusedQuotaUnavailable
	// those for which no lender could be reached in time.
	RefusedQuota            Name = "refused.quota"
	RefusedQuotaUnavailable Name = "refused.quota_unavailable"
	// RefusedUnknownKey counts callers and statements whose key no team holds.
	RefusedUnknownKey Name = "refused.unknown_key"
	// RefusedMemory counts messages, statements and answers for which the memory of the
	// process did not suffice.
	RefusedMemory Name = "refused.memory"
)

// Callers that lost their connections because the memory or the descriptors of the process did
// not suffice for all, by reason.
const (
	// EvictedStalled counts callers that did not send the rest of a message or read an answer.
	EvictedStalled Name = "evicted.stalled"
	// EvictedLargest counts callers that held most of the memory.
	EvictedLargest Name = "evicted.largest"
	// EvictedIdle counts callers whose connections were idle.
	EvictedIdle Name = "evicted.idle"
)

// Retries, by reason. Only requests that have had no effect are retried.
const (
	RetryNotOwner       Name = "retry.not_owner"
	RetryOwnerLost      Name = "retry.owner_lost"
	RetryLease          Name = "retry.lease"
	RetryReplicaReject  Name = "retry.replica_reject"
	RetryStaleConn      Name = "retry.stale_connection"
	RetryBudgetSpent    Name = "retry.budget_spent"
	RetryReadRepeated   Name = "retry.read_repeated"
	RetryPrimaryChanged Name = "retry.primary_changed"
	RetryKeyRace        Name = "retry.key_race"
	RetryNotSent        Name = "retry.not_sent"
	RetryOther          Name = "retry.other"
)

// Requests, callers and connections.
const (
	ReadsReplica Name = "reads.replica"
	ReadsPrimary Name = "reads.primary"
	// ReadsPrimaryEligible counts the reads among ReadsPrimary that a replica could
	// have served.
	ReadsPrimaryEligible Name = "reads.primary_eligible"
	Writes               Name = "writes"
	Transactions         Name = "transactions"
	AnswersDiscarded     Name = "answers.unknown_id"
	CallersOpen          Name = "callers.open"
	CallersDisconnected  Name = "callers.gone"
	Requests             Name = "requests"
	KeptAnswersDelivered Name = "answers.kept_delivered"
	RelayedRequests      Name = "relay.requests"
	ConnsOpened          Name = "connections.opened"
	ConnsClosed          Name = "connections.closed"
)

// Histograms of latencies. Their percentiles are exported in microseconds.
const (
	// LatencyStatement is the time from the arrival of a statement to its answer.
	LatencyStatement Name = "latency.statement"
	// LatencyConnection is the time that a statement waits for a connection.
	LatencyConnection Name = "latency.connection"
	// LatencyEndpoint is the time from sending a request to the endpoint's answer.
	LatencyEndpoint Name = "latency.endpoint"
	// LatencyReplay is the time in which an endpoint accepts session state on a connection, before the
	// statement that needs it is sent.
	LatencyReplay Name = "latency.replay"
)

// Metrics of the gateway package.
const (
	FailoversStarted      Name = "changes.begun"
	FailoversCompleted    Name = "changes.done"
	FailoversAborted      Name = "changes.given_up"
	PrimaryPermissionLost Name = "permission.lost"
	// StatementsNotStarted counts statements that were not sent to the endpoint that was chosen
	// for them, as it might not be used any more.
	StatementsNotStarted Name = "statements.not_started"
	// StateHeld counts the statements that found the state of their session on their connection, and
	// StateReplayed those that did not. Later statements of a transaction are left out.
	StateHeld     Name = "session_state.held"
	StateReplayed Name = "session_state.replayed"
	// PrimaryUnanswered counts statements that were not answered when this host stopped using
	// their endpoint as the primary.
	PrimaryUnanswered Name = "primary.unanswered"
	// LogLinesOmitted counts log lines about requests that were left out, as there were too many.
	LogLinesOmitted Name = "log.omitted"
	// StoreRestorations counts how often this host has written the rows that the store had
	// lost when it was restored from an older copy.
	StoreRestorations Name = "store.restorations"
	// ReplicaSetChanges counts the changes of replica sets that this host has written.
	ReplicaSetChanges Name = "replica_set.changes"
	// ElectorateChanges counts the changes of the electorate that this host has written.
	ElectorateChanges Name = "electorate.changes"
	// ElectorateNoQuorum counts polls that no quorum of the voters has answered. Until one does, or the
	// electorate has changed, no primary can be replaced.
	ElectorateNoQuorum Name = "electorate.no_quorum"
	RetryBusy          Name = "retry.busy"
	RetryLagging       Name = "retry.lagging"
	RetryReadOnly      Name = "retry.read_only"
	RetryAnswerLost    Name = "retry.answer_lost"
	RetryNoConnection  Name = "retry.no_connection"
	// RetryReplayRefused counts statements that were not sent, as the endpoint refused the state of
	// their session.
	RetryReplayRefused Name = "retry.replay_refused"
	// RetryWrongRelay counts statements that were sent to a host which does not hold connections
	// to the endpoint, and then to another relay host.
	RetryWrongRelay Name = "retry.wrong_relay"
	StoreReads      Name = "store.reads"
	// GossipCalls counts the calls of gossip rounds and GossipFailed those that failed.
	GossipCalls  Name = "gossip.calls"
	GossipFailed Name = "gossip.failed"
	// GossipClaimsLate counts the calls made while the claims are too old. They go to more
	// hosts than usual.
	GossipClaimsLate Name = "gossip.claims_late"
	// GossipInvalid counts parts of gossip messages that were left out because their
	// numbers are out of range.
	GossipInvalid Name = "gossip.invalid"
	// ConfigurationInvalid counts the versions of the configuration that this host has refused.
	ConfigurationInvalid Name = "configuration.invalid"
	// ConfigurationOlder counts versions of the configuration that are older than the one in force,
	// as a restored store may hold them.
	ConfigurationOlder Name = "configuration.older"
	// QuotaCalls counts calls to lenders of tokens and QuotaCallsFailed those that failed.
	QuotaCalls       Name = "quota.calls"
	QuotaCallsFailed Name = "quota.calls_failed"
	// QuotaTokensLent counts the tokens that this host has lent.
	QuotaTokensLent Name = "quota.tokens_lent"
	// ConcurrencyLowered and ConcurrencyRaised count the changes of the learned
	// concurrency limits of endpoints.
	ConcurrencyLowered Name = "concurrency.lowered"
	ConcurrencyRaised  Name = "concurrency.raised"
	// ConcurrencyWindows is the number of statements that this host may have in flight to
	// the endpoints whose limits it learns, and ConcurrencyReduced the number of those
	// endpoints whose limit is below their slots.
	ConcurrencyWindows Name = "concurrency.windows"
	ConcurrencyReduced Name = "concurrency.reduced"
	// ConcurrencyRefusedEarly counts the statements for a primary that were refused by what
	// the hosts with connections to it report.
	ConcurrencyRefusedEarly Name = "concurrency.refused_early"
	// Panics counts panics in the work on one connection, call or row.
	Panics Name = "panics"
)

// Histograms of the gateway's control goroutine.
const (
	// LatencyControl is how long a task waits for the control goroutine.
	LatencyControl Name = "latency.control"
	// AgeCatalog, AgeEndpoints and AgeState are the ages of the table mirrors.
	AgeCatalog   Name = "age.catalog"
	AgeEndpoints Name = "age.endpoints"
	AgeState     Name = "age.state"
)

// Metrics of group control and of the manifest.
const (
	ClaimsStarted      Name = "claims.started"
	ClaimsWon          Name = "claims.won"
	ClaimsLost         Name = "claims.lost"
	StepDowns          Name = "claims.step_down"
	ControlStalls      Name = "control.stalls"
	HandoversAccepted  Name = "handovers.accepted"
	ManifestApplied    Name = "manifest.applied"
	ManifestBehindPeer Name = "manifest.behind"
	// ManifestFetches counts newer manifests that were fetched from peers.
	ManifestFetches     Name = "manifest.fetches"
	ManifestFetchFailed Name = "manifest.fetch_failed"
	ManifestStorePolls  Name = "manifest.store_polls"
	// ManifestRejected counts fetched manifests that were damaged or invalid.
	ManifestRejected   Name = "manifest.rejected"
	ManifestGeneration Name = "manifest.generation"
)
