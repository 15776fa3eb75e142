package session

// Op is the kind of a statement.
type Op uint8

// Kinds of statements.
const (
	OpUnknown Op = iota
	// OpBegin begins a transaction that may write, OpBeginRead a read-only one, which
	// replicas may serve.
	OpBegin
	OpBeginRead
	OpCommit
	OpRollback
	OpRead
	OpWrite
	// OpSet sets a value of the session.
	OpSet
	// OpPrepare prepares a statement under a name, OpExecute runs a prepared statement,
	// OpDeallocate removes it.
	OpPrepare
	OpExecute
	OpDeallocate
	// OpReset, OpStatus and OpDemote are sent to endpoints by the proxy only.
	OpReset
	OpStatus
	OpDemote
)
