package entry

import (
	"bytes"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/control"
)

// Guards against an answer that is damaged if a chunk ends within a message. Wherever the
// answer is split, the caller must get the same bytes, without the ParseComplete of the
// Parse that the entry added.
func TestAnswerSplitAtAnyByte(t *testing.T) {
	g := NewWithT(t)
	var raw, want []byte
	add := func(m pgproto3.BackendMessage, keep bool) {
		raw = encode(raw, m)
		if keep {
			want = encode(want, m)
		}
	}
	add(&pgproto3.ParseComplete{}, false)
	add(&pgproto3.BindComplete{}, true)
	add(&pgproto3.ParseComplete{}, true)
	add(&pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("1Z"), 20)}}, true)
	add(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, true)
	add(&pgproto3.ReadyForQuery{TxStatus: 'T'}, false)
	want = encode(want, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	for first := range raw {
		for second := first; second < len(raw); second++ {
			var got bytes.Buffer
			a := &answerFilter{w: &got, batch: &selfContainedBatch{parses: []statementChange{{injected: true}, {put: &statement{}}}}}
			for _, part := range [][]byte{raw[:first], raw[first:second], raw[second:]} {
				_, err := a.Write(part)
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(a.sendReady('I')).To(Succeed())
			if !bytes.Equal(got.Bytes(), want) || len(a.statementChanges) != 1 {
				t.Fatalf("split at %d and %d: got %q, want %q", first, second, got.Bytes(), want)
			}
		}
	}
}

// Guards against truncating a message that is longer than the entry buffers, and against
// sending an error in the middle of such a message.
func TestLongMessageIsStreamed(t *testing.T) {
	g := NewWithT(t)
	raw := encode(nil, &pgproto3.DataRow{Values: [][]byte{make([]byte, 3*maxPartialMessage)}})
	var got bytes.Buffer
	a := &answerFilter{w: &got, batch: &selfContainedBatch{}}
	_, err := a.Write(raw[:maxPartialMessage])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.canAppendError()).To(BeFalse())
	_, err = a.Write(raw[maxPartialMessage:])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.canAppendError()).To(BeTrue())
	g.Expect(a.flush()).To(Succeed())
	g.Expect(got.Bytes()).To(Equal(raw))
	_, err = a.Write([]byte{'D', 0, 0, 0, 1})
	g.Expect(err).To(MatchError(errMalformedAnswer))
}

// Guards guarantee 6: a statement that looks like a read but may write must not be
// repeated.
func TestRepeatable(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]bool{
		"select a from b where c = 'insert'":                    true,
		"SELECT count(*), max(a) FROM b;":                       true,
		"begin":                                                 true,
		"/* update */ select 1 -- delete":                       true,
		"select $$insert into x$$":                              true,
		"select \"book\"(1)":                                    false,
		"select book_slot(1)":                                   false,
		"select * from a for update":                            false,
		"select nextval('s')":                                   false,
		"with x as (delete from a returning 1) select 1 from x": false,
		"insert into a values (1)":                              false,
		"select 1; insert into a values (1)":                    false,
		"commit":                                                false,
		"explain analyze delete from a":                         false,
	} {
		g.Expect(classifyTexts([]string{text}).repeatable()).To(Equal(want), text)
	}
	g.Expect(classifyTexts([]string{"select '/* request_key=no */' /* kind=booking, request_key=a-1 */"}).requestKey).To(Equal("a-1"))
}

// FuzzFirstMessages guards against input that crashes the process or leaks a goroutine:
// every connection must end by itself.
func FuzzFirstMessages(f *testing.F) {
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "anna", "database": "members", "options": "-c beryltrestle.session=a\\ b"}}).Encode(nil)
	ssl, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	cancel, _ := (&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte("abcd")}).Encode(nil)
	set, _ := (&pgproto3.Query{String: "set application_name = 'x'; reset all"}).Encode(nil)
	parse, _ := (&pgproto3.Parse{Name: "a", Query: "set time zone 'UTC'"}).Encode(nil)
	bind, _ := (&pgproto3.Bind{PreparedStatement: "a"}).Encode(nil)
	sync, _ := (&pgproto3.Sync{}).Encode(nil)
	f.Add(startup)
	f.Add(append(ssl, startup...))
	f.Add(cancel)
	f.Add(append(startup[:len(startup):len(startup)], set...))
	f.Add(bytes.Join([][]byte{startup, parse, bind, sync}, nil))
	f.Add([]byte{0, 0, 0, 8, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, first []byte) {
		synctest.Test(t, func(t *testing.T) { serveFirstMessages(t, first) })
	})
}

// serveFirstMessages sends the bytes as a caller that then sends nothing more and waits for
// the connection to end.
func serveFirstMessages(t *testing.T, first []byte) {
	server := New(Config{Views: viewWithoutOwner{}, MaxMessageBytes: 1 << 16})
	callerEnd, serverEnd := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		newCallerConn(server, serverEnd).run()
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = callerEnd.Write(first)
		time.Sleep(DefaultStartupTimeout + 2*DefaultRequestTimeout)
		callerEnd.Close()
	}()
	buf := make([]byte, 4096)
	for {
		if _, err := callerEnd.Read(buf); err != nil {
			break
		}
	}
	<-served
	<-written
	server.cancel()
}

// viewWithoutOwner is a View of one pool without an owner.
type viewWithoutOwner struct{}

func (viewWithoutOwner) View() *control.View {
	return &control.View{Generation: 1, Groups: control.NewGroups(map[string]control.GroupView{"members": {}})}
}

func (viewWithoutOwner) Changed() <-chan struct{} { return nil }

// Guards against a connection that is closed when the answer breaks off within a message of
// which nothing was sent to the caller yet. An error must be sent instead.
func TestErrorReplacesUnsentAnswer(t *testing.T) {
	g := NewWithT(t)
	raw := encode(nil, &pgproto3.DataRow{Values: [][]byte{make([]byte, 2*maxPartialMessage)}})
	var got bytes.Buffer
	a := &answerFilter{w: &got, batch: &selfContainedBatch{}}
	_, err := a.Write(raw[:flushSize/2])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.canAppendError()).To(BeTrue())
	refused := unknown(stateOutcomeUnknown, "unknown.owner_lost", "lost")
	a.appendError(refused)
	g.Expect(a.flush()).To(Succeed())
	g.Expect(got.Bytes()).To(Equal(encode(nil, refused.response())))
}
