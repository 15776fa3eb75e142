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

// errUnproven means that the endpoint has not answered on the connection, neither a proof nor the replay
// of session state, so that the statement was not sent.
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

// prepareToSend asks the endpoint for an answer and then calls check.confirm with the time of the
// question, again if that returns errProofExpired. The replay statements serve as the question if there
// are any. After an error the request that the answer is for must not be sent, and after errUnproven and
// errReplayRefused the connection must not be used any more.
func (c *conn) prepareToSend(endpoint EndpointConn, deadline time.Time, replay []Request, check sendCheck) error {
	err := errProofExpired
	for errors.Is(err, errProofExpired) {
		asked := boottime.Now()
		if err = c.ask(endpoint, deadline, replay, check.proof); err != nil {
			c.broken = true
			if !errors.Is(err, errReplayRefused) {
				err = errors.Mark(err, errUnproven)
			}
			return err
		}
		err = check.confirm(asked)
		replay = nil
	}
	return err
}

// ask sends the replay statements, or proofRequest if there are none, and waits for the answers until
// the deadline, for a proof for at most proofTimeout.
func (c *conn) ask(endpoint EndpointConn, deadline time.Time, replay []Request, proof bool) error {
	now := time.Now()
	if !now.Before(deadline) {
		return os.ErrDeadlineExceeded
	}
	if limit := now.Add(proofTimeout); proof && limit.Before(deadline) {
		deadline = limit
	}
	if len(replay) == 0 {
		_, err := c.exchange(endpoint, deadline, []Request{proofRequest})
		return err
	}
	answer, err := c.exchange(endpoint, deadline, replay)
	if err == nil && !answer.OK() {
		err = replayRefused(answer)
	}
	return err
}

// confirmStart repeats the check of startStatement after the wait for an answer to the question that
// was asked at the given time, and records the send of the statement at the returned time.
func (p *pool) confirmStart(c *conn, w work, asked time.Time) (time.Time, error) {
	g := c.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if w.needsProof && now.Sub(asked) > proofTimeout {
		return now, errProofExpired
	}
	if err := p.checkStart(c, now, w); err != nil {
		return now, err
	}
	c.sentAt, c.waiting = now, false
	if w.primary {
		g.lastPrimarySend = primarySend{at: now, endpoint: c.target.ID, term: g.term}
	}
	return now, nil
}
