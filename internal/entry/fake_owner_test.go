package entry_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

const textOID = 25

// fakeOwner is an owner without a database. A SELECT returns its own text and
// parameters, every other statement succeeds without an effect.
type fakeOwner struct {
	mu            sync.Mutex
	requests      []*peerv1.Request
	closedIDs     []string
	answerOutcome func(*peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse
	// serve replaces the default behavior if it is set.
	serve func(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter)
}

func (o *fakeOwner) Serve(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
	o.mu.Lock()
	o.requests = append(o.requests, req)
	serve := o.serve
	o.mu.Unlock()
	if serve != nil {
		serve(ctx, req, w)
		return
	}
	answerBatch(req, w)
}

func (o *fakeOwner) CloseTransaction(id []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closedIDs = append(o.closedIDs, string(id))
}

func (o *fakeOwner) QueryOutcome(req *peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.answerOutcome == nil {
		return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_UNKNOWN}
	}
	return o.answerOutcome(req)
}

func (o *fakeOwner) setServe(f func(context.Context, *peerv1.Request, peer.AnswerWriter)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serve = f
}

func (o *fakeOwner) receivedRequests() []*peerv1.Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*peerv1.Request(nil), o.requests...)
}

func (o *fakeOwner) closedTransactions() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.closedIDs...)
}

// answerBatch answers a batch as a database would.
func answerBatch(req *peerv1.Request, w peer.AnswerWriter) {
	out, status := batchAnswer(req)
	_, _ = w.Write(out)
	w.Finish(&peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_DONE, TransactionStatus: status})
}

// batchAnswer returns the answer to a batch and the transaction status.
func batchAnswer(req *peerv1.Request) ([]byte, string) {
	d := fakeDatabase{status: "I"}
	if len(req.GetTransactionId()) > 0 {
		d.status = "T"
	}
	backend := pgproto3.NewBackend(bytes.NewReader(req.GetBatch()), io.Discard)
	for {
		msg, err := backend.Receive()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return d.out, d.status
		}
		d.handle(msg)
	}
}

// fakeDatabase answers the messages of one batch. Like a connection that callers share,
// it knows only the prepared statements of the batch.
type fakeDatabase struct {
	out    []byte
	status string
	// parsedText is the text of the unnamed statement, boundText that of the unnamed
	// portal.
	parsedText, boundText string
	hasParsed             bool
	failed                bool
}

func (d *fakeDatabase) send(m pgproto3.BackendMessage) { d.out, _ = m.Encode(d.out) }

func (d *fakeDatabase) handle(msg pgproto3.FrontendMessage) {
	if _, sync := msg.(*pgproto3.Sync); d.failed && !sync {
		return
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		d.run(m.String, true)
		d.send(&pgproto3.ReadyForQuery{TxStatus: d.status[0]})
	case *pgproto3.Parse:
		if m.Name != "" || strings.Contains(m.Query, "syntax error") {
			d.fail("42601", "bad Parse "+m.Name)
			return
		}
		d.parsedText, d.hasParsed = m.Query, true
		d.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		if !d.hasParsed || m.PreparedStatement != "" {
			d.fail("26000", "statement is not part of the batch")
			return
		}
		d.boundText = d.parsedText
		for _, p := range m.Parameters {
			d.boundText += "|" + string(p)
		}
		d.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		d.describe(m)
	case *pgproto3.Execute:
		d.run(d.boundText, false)
	case *pgproto3.Close:
		d.hasParsed = false
		d.send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		d.send(&pgproto3.ReadyForQuery{TxStatus: d.status[0]})
	}
}

func (d *fakeDatabase) describe(m *pgproto3.Describe) {
	if m.ObjectType == 'S' {
		if !d.hasParsed {
			d.fail("26000", "statement is not part of the batch")
			return
		}
		oids := make([]uint32, strings.Count(d.parsedText, "$"))
		for i := range oids {
			oids[i] = textOID
		}
		d.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	if !strings.HasPrefix(strings.ToLower(d.parsedText), "select") {
		d.send(&pgproto3.NoData{})
		return
	}
	d.send(rowDescription)
}

var rowDescription = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
	Name: []byte("v"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
}}}

func (d *fakeDatabase) fail(code, message string) {
	d.failed = true
	d.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

func (d *fakeDatabase) run(text string, describe bool) {
	lower := strings.ToLower(text)
	tag := "INSERT 0 1"
	switch {
	case strings.HasPrefix(lower, "begin"):
		d.status, tag = "T", "BEGIN"
	case strings.HasPrefix(lower, "commit"):
		d.status, tag = "I", "COMMIT"
	case strings.HasPrefix(lower, "rollback"):
		d.status, tag = "I", "ROLLBACK"
	case strings.HasPrefix(lower, "select"):
		tag = "SELECT 1"
		if describe {
			d.send(rowDescription)
		}
		d.send(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
	}
	d.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
