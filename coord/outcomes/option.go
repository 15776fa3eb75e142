package outcomes

// Option changes a bound of a Table.
type Option func(*Table)

// WithMaxRecords bounds the number of requests that the table remembers.
func WithMaxRecords(n int) Option { return func(t *Table) { t.maxRecords = n } }

// WithMaxAnswerBytes bounds the sum of the answers that the table keeps.
func WithMaxAnswerBytes(n int) Option { return func(t *Table) { t.maxBytes = n } }
