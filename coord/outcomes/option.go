package outcomes

// Option changes a limit of a Table.
type Option func(*Table)

// WithMaxRecords limits the number of requests that the table remembers.
func WithMaxRecords(n int) Option { return func(t *Table) { t.maxRecords = n } }

// WithMaxAnswerBytes limits the total size of the answers that the table keeps.
func WithMaxAnswerBytes(n int) Option { return func(t *Table) { t.maxAnswerBytes = n } }
