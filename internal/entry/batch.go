package entry

// Message types of the protocol that the entry inspects.
const (
	typeBind          = 'B'
	typeClose         = 'C'
	typeDescribe      = 'D'
	typeExecute       = 'E'
	typeFlush         = 'H'
	typeFunctionCall  = 'F'
	typeParse         = 'P'
	typeQuery         = 'Q'
	typeSync          = 'S'
	objectStatement   = 'S'
	typeParseComplete = '1'
	typeCloseComplete = '3'
	typeReadyForQuery = 'Z'
	typeErrorResponse = 'E'
)

// maxBatchItems is the largest number of messages in a batch; it bounds the
// memory of a batch of the shortest messages.
const maxBatchItems = 100_000

// item is one message of a batch. Statement names are replaced by the empty
// name in the bytes, because the owner's connections are shared.
type item struct {
	kind byte
	// object is 'S' or 'P' for Describe and Close.
	object byte
	// statement is the caller's name of the prepared statement.
	statement string
	// text is the SQL text of Parse and Query.
	text string
	// start and end delimit the encoded message in the batch's data.
	start, end int
}

// batch is what a caller sent up to and including Query, Sync, Flush or
// FunctionCall.
type batch struct {
	items []item
	data  []byte
}

// kind returns the type of the message that ends the batch.
func (b *batch) kind() byte { return b.items[len(b.items)-1].kind }

// bytes returns the encoded message of an item.
func (b *batch) bytes(i item) []byte { return b.data[i.start:i.end] }

// runs reports whether the batch binds or executes a portal.
func (b *batch) runs() bool {
	for _, i := range b.items {
		if i.kind == typeBind || i.kind == typeExecute {
			return true
		}
	}
	return false
}

// onlyCloses reports whether the batch does nothing but close statements.
func (b *batch) onlyCloses() bool {
	for _, i := range b.items {
		closes := i.kind == typeClose && i.object == objectStatement
		if !closes && i.kind != typeSync && i.kind != typeFlush {
			return false
		}
	}
	return true
}

// empty reports whether no message has arrived.
func (b *batch) empty() bool { return b == nil || len(b.items) == 0 }
