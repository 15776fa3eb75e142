package claim

// Owner identifies the owner of a group in a term.
type Owner struct {
	Address     string
	Incarnation uint64
	Term        uint64
}
