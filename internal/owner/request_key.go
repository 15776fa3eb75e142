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

// createRequestsTable creates the table of request keys. A key is written in the
// transaction of its request, so that either both are committed or neither is.
const createRequestsTable = "CREATE TABLE IF NOT EXISTS beryltrestle_requests " +
	"(request_key text PRIMARY KEY, fingerprint text NOT NULL, answer text NOT NULL)"

// runWithRequestKey runs a write with a request key at most once for each key. If the
// key is already recorded, it returns the answer of the first run.
func (r *request) runWithRequestKey(ctx context.Context, grant admission.Grant, pool *connPool, c *conn, term uint64) *attemptResult {
	conf, ref := r.group.newConfirmation(r, term, c.address)
	if ref != nil {
		pool.put(c)
		r.group.releaseSlot(grant, 0, false)
		return &attemptResult{refusal: ref, retryReason: metrics.RetryLease}
	}
	r.output.bufferAll = true
	started := time.Now()
	res, err := r.runKeyTransaction(c)
	r.group.releaseSlot(grant, time.Since(started), err != nil)
	if err != nil {
		pool.discard(c)
		r.reportError(c.address)
		return r.connectionLost(ctx, conf)
	}
	r.group.recordPosition(term, c.address, res.position, started)
	if res.sqlstate == stateReadOnly {
		return r.retryRejectedWrite(pool, c, true)
	}
	pool.put(c)
	// The output is empty only if recording the key has failed and the transaction was
	// rolled back. An error of the batch itself is in the output, for the caller.
	if res.sqlstate != "" && r.output.size == 0 {
		return keyNotRecorded(res.sqlstate)
	}
	conf.write.Upper = res.position
	conf.write.UpperKnown = true
	conf.finishedAt = time.Now()
	return r.finishBatch(ctx, conf, res, c.address, true)
}

// keyNotRecorded returns the result of a request whose key could not be recorded, with the
// SQLSTATE of the database.
func keyNotRecorded(sqlstate string) *attemptResult {
	if sqlstate == stateUniqueViolation {
		return &attemptResult{refusal: notRun(metrics.RetryKeyRace, stateSerialization, "another request with the same key was running"), retryReason: metrics.RetryKeyRace}
	}
	return refused(notRun(metrics.RefusedRequestKey, sqlstate, "the request key could not be recorded"))
}

// runKeyTransaction returns the recorded answer of the key if there is one. Otherwise
// it runs the batch and records the key and the answer in one transaction.
func (r *request) runKeyTransaction(c *conn) (batchResult, error) {
	row, res, err := c.exec("SELECT answer, fingerprint FROM beryltrestle_requests WHERE request_key = " + quote(r.info.RequestKey))
	if err != nil {
		return res, err
	}
	if res.sqlstate == stateUndefinedTable {
		if _, res, err = c.exec(createRequestsTable); err != nil || res.sqlstate != "" {
			return r.keyErrorResponse(res, err)
		}
	} else if res.sqlstate != "" {
		return r.keyErrorResponse(res, nil)
	}
	if row != nil {
		return r.replayAnswer(c, row)
	}
	if _, res, err = c.exec("BEGIN"); err != nil || res.sqlstate != "" {
		return r.keyErrorResponse(res, err)
	}
	res, err = c.run(r.req.GetBatch(), r.output.add)
	if err != nil {
		return res, err
	}
	if res.status != 'T' {
		_, _, err = c.exec("ROLLBACK")
		r.output.setStatus('I')
		res.status = 'I'
		return res, err
	}
	return r.commitWithKey(c)
}

// commitWithKey records the key with the answer and commits the transaction.
func (r *request) commitWithKey(c *conn) (batchResult, error) {
	r.output.setStatus('I')
	insert := fmt.Sprintf("INSERT INTO beryltrestle_requests (request_key, fingerprint, answer) VALUES (%s, '%x', '%s')",
		quote(r.info.RequestKey), r.info.Fingerprint, hex.EncodeToString(r.output.bytes()))
	_, res, err := c.exec(insert)
	if err != nil {
		return res, err
	}
	if res.sqlstate != "" {
		r.output.reset()
		_, _, err = c.exec("ROLLBACK")
		return res, err
	}
	end, err := c.run(encodeQuery("COMMIT"), func(msg []byte) {
		if msg[0] == 'E' {
			r.output.reset()
			r.output.add(msg)
		}
	})
	if err == nil && end.sqlstate != "" {
		r.output.add(readyIdle())
	}
	return end, err
}

// replayAnswer returns the recorded answer to the first request with the key.
func (r *request) replayAnswer(c *conn, row [][]byte) (batchResult, error) {
	if string(row[1]) != fmt.Sprintf("%x", r.info.Fingerprint) {
		return r.keyErrorResponse(batchResult{status: 'I', sqlstate: "22023"}, nil)
	}
	answer, err := hex.DecodeString(string(row[0]))
	if err != nil {
		return batchResult{}, err
	}
	// The position that run returns covers the first request's commit. The answer is
	// sent only after this position is confirmed.
	res, err := c.run(encodeQuery("SELECT 1"), func([]byte) {})
	if err != nil {
		return res, err
	}
	r.output.add(answer)
	return res, nil
}

// keyErrorResponse replaces the answer by the error that prevented the key from being
// recorded or reused.
func (r *request) keyErrorResponse(res batchResult, err error) (batchResult, error) {
	if err != nil {
		return res, err
	}
	msg := "the request key could not be recorded"
	if res.sqlstate == "22023" {
		msg = "the request key was used for another statement"
	}
	r.output.reset()
	r.output.add(errorMessage(res.sqlstate, msg))
	r.output.add(readyIdle())
	res.status = 'I'
	return res, nil
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
