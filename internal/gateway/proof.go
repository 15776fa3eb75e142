package gateway

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// proofTimeout limits the wait for the answer to one request for a proof, and the time from that
// request to the send of the statement. An endpoint that does not answer a status request for so long
// counts as out of reach.
const proofTimeout = statusTimeout

// errUnproven means that the endpoint has not answered on the connection, so that the statement was
// not sent.
var errUnproven = errors.New("the endpoint has not answered on the connection")

// errProofExpired means that the answer to the request for a proof is too old, as this host has stood
// still.
var errProofExpired = errors.New("the endpoint has answered too long ago")

// proofRequest asks an endpoint for an answer. It needs no slot there and changes nothing but a
// prepared statement of a name that no session uses.
var proofRequest = Request{Statement: session.Statement{Op: session.OpPrepare, Name: "proof", Args: "READ proof"}}

// needsProof reports whether the request is sent only once its endpoint has answered on the same
// connection: single statements for a primary, and COMMIT. The kernel of an endpoint that stands
// still, or of a path that is cut, keeps what was sent and delivers it later, also after the
// connection was reset. The endpoint would run it then, although it may have been replaced.
// Statements of a transaction have no effect without its COMMIT.
func (r Request) needsProof(primary, inTransaction bool) bool {
	switch r.Op {
	case session.OpCommit:
		return primary
	case session.OpRead, session.OpWrite, session.OpExecute:
		return primary && !inTransaction
	default:
		return false
	}
}

// prove asks the endpoint for an answer and then calls confirm with the time of the question, again if
// that returns errProofExpired. The replay statements serve as the question if there are any. After an
// error the request that the proof is for must not be sent, and after errUnproven the connection must
// not be used any more.
func (c *conn) prove(endpoint EndpointConn, deadline time.Time, replay []Request, confirm func(asked time.Time) error) error {
	err := errProofExpired
	for errors.Is(err, errProofExpired) {
		asked := boottime.Now()
		if err = c.ask(endpoint, deadline, replay); err != nil {
			c.broken = true
			return errors.Mark(err, errUnproven)
		}
		err = confirm(asked)
		replay = nil
	}
	return err
}

// ask sends the replay statements, or proofRequest if there are none, and waits for the answers until
// the deadline, but for at most proofTimeout.
func (c *conn) ask(endpoint EndpointConn, deadline time.Time, replay []Request) error {
	now := time.Now()
	if !now.Before(deadline) {
		return os.ErrDeadlineExceeded
	}
	if limit := now.Add(proofTimeout); limit.Before(deadline) {
		deadline = limit
	}
	if len(replay) == 0 {
		_, err := c.exchange(endpoint, deadline, []Request{proofRequest})
		return err
	}
	answer, err := c.exchange(endpoint, deadline, replay)
	if err == nil && !answer.OK() {
		err = errors.Wrapf(errReplayRefused, "%s", answer.Detail)
	}
	return err
}

// confirmStart repeats the check of startStatement after the proof, and records the send of the
// statement at the returned time.
func (p *pool) confirmStart(c *conn, r Request, newWork bool, asked time.Time) (time.Time, error) {
	g := c.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if now.Sub(asked) > proofTimeout {
		return now, errProofExpired
	}
	if err := p.checkStart(c, now, true, newWork, r.StartBy); err != nil {
		return now, err
	}
	c.sentAt, c.proving = now, false
	g.lastPrimarySend = primarySend{at: now, endpoint: c.target.ID, term: g.term}
	return now, nil
}
