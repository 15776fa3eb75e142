package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// proofTimeout limits the time from the request for a proof to the send of the statement that it is
// for. An endpoint that does not answer for so long is probed as well.
const proofTimeout = probeAfterSilence

// errUnproven means that the endpoint has not answered on the connection, so that the statement was
// not sent.
var errUnproven = errors.New("the endpoint has not answered on the connection")

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

// prove asks the endpoint for an answer and then calls confirm with it. The replay statements serve
// as the question if there are any. After an error the request that the proof is for must not be
// sent.
func (c *conn) prove(endpoint EndpointConn, deadline time.Time, replay []Request, confirm func(asked time.Time, answer Reply) error) error {
	replays := len(replay) > 0
	if !replays {
		replay = []Request{proofRequest}
	}
	if limit := time.Now().Add(proofTimeout); limit.Before(deadline) {
		deadline = limit
	}
	asked := boottime.Now()
	answer, err := c.exchange(endpoint, deadline, replay)
	if err == nil && replays && !answer.OK() {
		err = errors.Wrapf(errReplayRefused, "%s", answer.Detail)
	}
	if err != nil {
		c.broken = true
		return errors.Mark(err, errUnproven)
	}
	return confirm(asked, answer)
}

// confirmStart repeats the check of startStatement after the proof, and records the send of the
// statement at the returned time.
func (p *pool) confirmStart(c *conn, r Request, newWork bool, asked time.Time, answer Reply) (time.Time, error) {
	g := c.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if now.Sub(asked) > proofTimeout {
		return now, errUnproven
	}
	if answer.Position.Term > g.term {
		p.onFailure(c.target)
		p.logNotStarted(c, excludedNewerTerm)
		return now, errNotStarted
	}
	if err := p.checkStart(c, now, true, newWork, r.StartBy); err != nil {
		return now, err
	}
	c.sentAt, c.proving = now, false
	g.lastPrimarySend = primarySend{at: now, endpoint: c.target.ID, term: g.term}
	return now, nil
}
