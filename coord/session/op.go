package session

// Op is the kind of a statement.
type Op uint8

// Kinds of statements.
const (
	OpUnknown Op = iota
	// OpBegin opens a transaction that may write; OpBeginRead one that may not,
	// and that replicas may serve.
	OpBegin
	OpBeginRead
	OpCommit
	OpRollback
	OpRead
	OpWrite
	// OpSet sets a value of the session.
	OpSet
	// OpPrepare names a statement, OpExecute runs it, OpDeallocate forgets it.
	OpPrepare
	OpExecute
	OpDeallocate
	// OpReset, OpStatus and OpDemote are sent to endpoints by the
	// proxy only.
	OpReset
	OpStatus
	OpDemote
)
