package owner

import (
	"context"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// createRequestsTable makes the table of request keys. A key is written in the
// transaction of its request, so that both commit or neither does.
const createRequestsTable = "CREATE TABLE IF NOT EXISTS beryltrestle_requests " +
	"(request_key text PRIMARY KEY, fingerprint text NOT NULL, answer text NOT NULL)"

// runKeyed runs a write that carries a request key at most once. A key that is
// recorded already returns the first result.
func (r *request) runKeyed(ctx context.Context, grant admission.Grant, pool *connPool, c *conn, term uint64) *attempt {
	conf, ref := r.g.confirmationFor(r, term, c.address)
	if ref != nil {
		pool.put(c)
		r.g.release(grant, 0, false)
		return &attempt{refusal: ref, again: metrics.RetryLease}
	}
	r.out.keepAll = true
	started := time.Now()
	res, err := r.keyedTransaction(c)
	r.g.release(grant, time.Since(started), err != nil)
	if err != nil {
		pool.discard(c)
		r.reportError(c.address)
		return r.connectionLost(ctx, conf)
	}
	r.g.sawPosition(term, c.address, res.position, started)
	if res.sqlstate == stateReadOnly {
		return r.writeRejected(pool, c, true)
	}
	pool.put(c)
	if res.sqlstate == stateUniqueViolation && r.out.size == 0 {
		return &attempt{refusal: notRun(metrics.RetryKeyRace, stateSerialization, "another request with the same key was running"), again: metrics.RetryKeyRace}
	}
	conf.write.Upper = res.position
	conf.write.UpperKnown = true
	conf.done = time.Now()
	return r.settle(ctx, conf, res, c.address, true)
}

// keyedTransaction looks the key up, and otherwise runs the batch and records
// the key with the answer in one transaction.
func (r *request) keyedTransaction(c *conn) (batchResult, error) {
	row, res, err := c.exec("SELECT answer, fingerprint FROM beryltrestle_requests WHERE request_key = " + quote(r.info.RequestKey))
	if err != nil {
		return res, err
	}
	if res.sqlstate == stateUndefinedTable {
		if _, res, err = c.exec(createRequestsTable); err != nil || res.sqlstate != "" {
			return r.keyError(res, err)
		}
	} else if res.sqlstate != "" {
		return r.keyError(res, nil)
	}
	if row != nil {
		return r.repeatAnswer(c, row)
	}
	if _, res, err = c.exec("BEGIN"); err != nil || res.sqlstate != "" {
		return r.keyError(res, err)
	}
	res, err = c.run(r.req.GetBatch(), r.out.add)
	if err != nil {
		return res, err
	}
	if res.status != 'T' {
		_, _, err = c.exec("ROLLBACK")
		r.out.setStatus('I')
		res.status = 'I'
		return res, err
	}
	return r.commitKey(c)
}

// commitKey writes the key's record and commits.
func (r *request) commitKey(c *conn) (batchResult, error) {
	r.out.setStatus('I')
	insert := fmt.Sprintf("INSERT INTO beryltrestle_requests (request_key, fingerprint, answer) VALUES (%s, '%x', '%s')",
		quote(r.info.RequestKey), r.info.Fingerprint, hex.EncodeToString(r.out.bytes()))
	_, res, err := c.exec(insert)
	if err != nil {
		return res, err
	}
	if res.sqlstate != "" {
		r.out.reset()
		_, _, err = c.exec("ROLLBACK")
		return res, err
	}
	end, err := c.run(encodeQuery("COMMIT"), func(msg []byte) {
		if msg[0] == 'E' {
			r.out.reset()
			r.out.add(msg)
		}
	})
	if err == nil && end.sqlstate != "" {
		r.out.add(readyIdle())
	}
	return end, err
}

// repeatAnswer returns the recorded answer of the key's first request.
func (r *request) repeatAnswer(c *conn, row [][]byte) (batchResult, error) {
	if string(row[1]) != fmt.Sprintf("%x", r.info.Fingerprint) {
		return r.keyError(batchResult{status: 'I', sqlstate: "22023"}, nil)
	}
	answer, err := hex.DecodeString(string(row[0]))
	if err != nil {
		return batchResult{}, err
	}
	res, err := c.run(encodeQuery("SELECT 1"), func([]byte) {})
	if err != nil {
		return res, err
	}
	r.out.add(answer)
	return res, nil
}

// keyError answers an error of the key's bookkeeping to the caller.
func (r *request) keyError(res batchResult, err error) (batchResult, error) {
	if err != nil {
		return res, err
	}
	msg := "the request key could not be recorded"
	if res.sqlstate == "22023" {
		msg = "the request key was used for another statement"
	}
	r.out.reset()
	r.out.add(errorMessage(res.sqlstate, msg))
	r.out.add(readyIdle())
	res.status = 'I'
	return res, nil
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
