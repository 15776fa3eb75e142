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

// maxBatchMessages is the largest number of messages in a batch. It bounds the memory of
// a batch of very short messages.
const maxBatchMessages = 100_000

// message is one message of a batch. In the encoded message, names of prepared
// statements are replaced by the empty name, because callers share the owner's
// connections.
type message struct {
	messageType byte
	// objectType is 'S' (statement) or 'P' (portal) for Describe and Close.
	objectType byte
	// statement is the caller's name for the prepared statement.
	statement string
	// text is the SQL text of Parse and Query.
	text string
	// start and end are the offsets of the encoded message in batch.data.
	start, end int
}

// batch holds the messages of a caller up to and including a Query, Sync, Flush or
// FunctionCall.
type batch struct {
	messages []message
	data     []byte
}

// endType returns the type of the message that ends the batch.
func (b *batch) endType() byte { return b.messages[len(b.messages)-1].messageType }

// encoded returns the encoded message.
func (b *batch) encoded(m message) []byte { return b.data[m.start:m.end] }

// usesPortal reports whether the batch binds or executes a portal.
func (b *batch) usesPortal() bool {
	for _, m := range b.messages {
		if m.messageType == typeBind || m.messageType == typeExecute {
			return true
		}
	}
	return false
}

// onlyClosesStatements reports whether the batch does nothing except close prepared
// statements.
func (b *batch) onlyClosesStatements() bool {
	for _, m := range b.messages {
		closes := m.messageType == typeClose && m.objectType == objectStatement
		if !closes && m.messageType != typeSync && m.messageType != typeFlush {
			return false
		}
	}
	return true
}

// empty reports whether the batch has no message yet.
func (b *batch) empty() bool { return b == nil || len(b.messages) == 0 }
