package fleet

import (
	"net/http"
	"strconv"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/budget"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

const (
	// maxMessageBytes limits the messages between hosts. The longest are answers with 16 MiB
	// of text in rows of one byte, which take 48 MiB, and the values of a session (32 MiB).
	maxMessageBytes = 64 << 20
	// sizeHeader is the header with the size of the texts in a relayed request or answer. Its
	// receiver reserves them before it reads the message, whose compressed size does not tell.
	sizeHeader = "Beryltrestle-Size"
	// messageCopies is how many copies of a message its receiver holds at once: the bytes that
	// were read, and the texts. The sender's account holds the texts already. Compressed copies are
	// not counted.
	messageCopies = 2
	// freeMessageBytes is the size up to which a message is covered by the charge of a connection.
	freeMessageBytes = 4 << 10
)

// take charges the account for the given number of copies of a message with texts of the given
// size.
func take(account *budget.Account, size, copies int) error {
	if size <= freeMessageBytes {
		return nil
	}
	return account.Take(int64(size) * int64(copies))
}

// setSize states the size of a message's texts, unless it is small.
func setSize(h http.Header, size int) {
	if size > freeMessageBytes {
		h.Set(sizeHeader, strconv.Itoa(size))
	}
}

// statedSize returns the size that setSize has stated; 0 if it has not.
func statedSize(h http.Header) int {
	n, err := strconv.Atoi(h.Get(sizeHeader))
	if err != nil {
		return 0
	}
	return min(max(n, 0), maxMessageBytes)
}

// requestSize returns the size of the texts in a relay request.
func requestSize(r gateway.RelayRequest) int {
	size := len(r.Request.Text) + len(r.Request.Args)
	if r.Prepared != nil {
		size += len(r.Prepared.Definition)
	}
	for name, value := range r.SessionValues {
		size += len(name) + len(value)
	}
	return size
}

// rowBytes is what each row adds to a message besides its text.
const rowBytes = 16

// replySize returns the size of the texts in an answer.
func replySize(r gateway.Reply) int {
	size := len(r.Rows) * rowBytes
	for _, row := range r.Rows {
		size += len(row)
	}
	return size
}

// chargingHandler opens an account for each call, and charges it for the request before the
// request is read.
func chargingHandler(b *budget.Budget, next http.Handler) http.Handler {
	refusal := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := b.Open()
		defer account.Close()
		if err := take(account, statedSize(r.Header), messageCopies); err != nil {
			// Fails only if the connection has ended.
			_ = refusal.Write(w, r, connect.NewError(connect.CodeResourceExhausted, err))
			return
		}
		next.ServeHTTP(w, r.WithContext(budget.NewContext(r.Context(), account)))
	})
}

// chargingTransport charges the account of the call for the answer before the answer is read.
type chargingTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t chargingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := take(budget.FromContext(r.Context()), statedSize(response.Header), messageCopies); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// refusedBeforeRun reports whether the relay host refused to read the request.
func refusedBeforeRun(err error) bool {
	return connect.CodeOf(err) == connect.CodeResourceExhausted && connect.IsWireError(err)
}

// answerDropped reports whether the answer was not read because the caller's account could not
// hold it.
func answerDropped(err error) bool { return errors.Is(err, budget.ErrExhausted) }
