package rows

// Row is one version of a row.
type Row struct {
	Key string
	// Version is taken from one counter of the whole store, which increases with
	// each transaction.
	Version uint64
	Value   []byte
	// Deleted marks the version at which the row was removed.
	Deleted bool
}
