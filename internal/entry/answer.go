package entry

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Limits of the answer on its way to the caller.
const (
	// flushSize is the number of bytes that are gathered before they are written.
	flushSize = 16 << 10
	// maxHeldMessage is the longest message that is held back until it is whole,
	// so that an error can follow at a message's end.
	maxHeldMessage = 64 << 10
)

// errBadAnswer reports that an owner's answer is not in the protocol.
var errBadAnswer = errors.New("the owner's answer is malformed")

// answer filters the owner's answer of one attempt and writes it to the caller.
// It removes the ParseComplete of each Parse that the entry added, and every
// ReadyForQuery, because the entry sends its own.
type answer struct {
	w     io.Writer
	batch *prepared
	// raw is the number of bytes received.
	raw int
	// held is the beginning of a message that is not whole yet.
	held []byte
	// passing is the number of bytes left of a long message.
	passing int
	// out waits to be written.
	out []byte
	// started is true once bytes were written to the caller.
	started bool
	// failed is true once an ErrorResponse was seen.
	failed  bool
	parses  int
	closes  int
	changes []change
}

// Write takes the next bytes of the owner's answer.
func (a *answer) Write(b []byte) (int, error) {
	n := len(b)
	a.raw += n
	if len(a.held) > 0 {
		a.held = append(a.held, b...)
		b = a.held
	}
	rest, err := a.consume(b)
	if err != nil {
		return 0, err
	}
	a.held = append(a.held[:0], rest...)
	if len(a.out) >= flushSize {
		return n, a.flush()
	}
	return n, nil
}

// consume handles whole messages and returns what is left.
func (a *answer) consume(b []byte) ([]byte, error) {
	for len(b) > 0 {
		if a.passing > 0 {
			n := min(a.passing, len(b))
			a.out = append(a.out, b[:n]...)
			a.passing -= n
			b = b[n:]
			continue
		}
		if len(b) < messageOverhead {
			return b, nil
		}
		size := 1 + int(binary.BigEndian.Uint32(b[1:messageOverhead]))
		if size < messageOverhead {
			return nil, errBadAnswer
		}
		if len(b) >= size {
			a.message(b[:size])
			b = b[size:]
			continue
		}
		if size <= maxHeldMessage {
			return b, nil
		}
		a.passing = size
	}
	return nil, nil
}

// message handles one whole message.
func (a *answer) message(m []byte) {
	switch m[0] {
	case typeReadyForQuery:
		return
	case typeErrorResponse:
		a.failed = true
	case typeParseComplete:
		if a.parseComplete() {
			return
		}
	case typeCloseComplete:
		if a.closes < len(a.batch.closes) {
			a.changes = append(a.changes, a.batch.closes[a.closes])
			a.closes++
		}
	}
	a.out = append(a.out, m...)
}

// parseComplete counts a ParseComplete and reports whether it is removed.
func (a *answer) parseComplete() bool {
	if a.parses >= len(a.batch.parses) {
		return false
	}
	c := a.batch.parses[a.parses]
	a.parses++
	if c.extra {
		return true
	}
	a.changes = append(a.changes, c)
	return false
}

// canFail reports whether an error can be written after what was written.
func (a *answer) canFail() bool { return a.passing == 0 || !a.started }

// fail appends an error, after the last whole message. What is held back of a
// message is dropped.
func (a *answer) fail(r *refusal) {
	if !a.started {
		a.out = nil
		a.changes = nil
	}
	a.held = nil
	a.passing = 0
	a.out = encode(a.out, r.response())
	a.failed = true
}

// ready appends ReadyForQuery and writes everything.
func (a *answer) ready(status byte) error {
	a.out = encode(a.out, &pgproto3.ReadyForQuery{TxStatus: status})
	return a.flush()
}

// flush writes what waits to the caller.
func (a *answer) flush() error {
	if len(a.out) == 0 {
		return nil
	}
	a.started = true
	_, err := a.w.Write(a.out)
	a.out = a.out[:0]
	if err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// encode appends a message; the messages that the entry sends always encode.
func encode(b []byte, m pgproto3.BackendMessage) []byte {
	out, err := m.Encode(b)
	if err != nil {
		return b
	}
	return out
}
