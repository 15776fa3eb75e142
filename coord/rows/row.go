package rows

// Row is one version of a row.
type Row struct {
	Key string
	// Version is the value of a counter of the whole store that increases with each
	// transaction.
	Version uint64
	Value   []byte
	// Deleted marks the version at which the row was removed.
	Deleted bool
}
