package budget

import (
	"sync/atomic"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// connBytes is the fixed charge of a connection, for its goroutine, its buffers and a short
// statement with its answer.
const connBytes = 16 << 10

// Account holds what one client has been charged. Mark and the budget's own calls apart, it is
// used by one goroutine at a time. A nil Account has no limits.
type Account struct {
	budget *Budget
	evict  func()
	// caller is true for the connection of a caller.
	caller bool
	// held and evicted are guarded by the budget's mutex.
	held    int64
	evicted bool
	// statement is the part of held that EndStatement gives back.
	statement int64
	// marked holds the activity in its lowest bits, and above them its time in nanoseconds.
	marked atomic.Int64
}

const (
	activityBits = 2
	activityMask = 1<<activityBits - 1
)

// Mark records what the client does from now on, or that it has made progress.
func (a *Account) Mark(activity Activity) {
	switch {
	case a == nil:
	case activity == Working:
		// Its time is not needed.
		a.marked.Store(int64(Working))
	default:
		a.marked.Store(boottime.Now().UnixNano()&^activityMask | int64(activity))
	}
}

// MarkData records that data of the client's next message has arrived. Only the first data of
// a message is progress by itself, so that a client cannot hold its connection with single
// bytes.
func (a *Account) MarkData() {
	if a != nil && Activity(a.marked.Load()&activityMask) != Awaited {
		a.Mark(Awaited)
	}
}

// client returns what the choice of a client to evict depends on. The budget's mutex must be
// held.
func (a *Account) client() Client {
	marked := a.marked.Load()
	return Client{Held: a.held, Activity: Activity(marked & activityMask), Since: time.Unix(0, marked&^activityMask)}
}

// TakeConn charges the fixed amount of a connection.
func (a *Account) TakeConn() error {
	if a == nil {
		return nil
	}
	return a.budget.take(a, connBytes, a.budget.bytes)
}

// Take charges n bytes for the current statement. If they are not available, the client must
// be refused, or its connection closed.
func (a *Account) Take(n int64) error {
	if a == nil || n == 0 {
		return nil
	}
	err := a.Keep(n)
	if err == nil {
		a.statement += n
	}
	return err
}

// Give gives back n bytes that were charged for the current statement.
func (a *Account) Give(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.statement -= n
	a.budget.give(a, n)
}

// EndStatement gives back all bytes that were charged for the current statement.
func (a *Account) EndStatement() {
	if a != nil {
		a.Give(a.statement)
	}
}

// Keep charges n bytes that are kept beyond the current statement.
func (a *Account) Keep(n int64) error {
	if a == nil || n == 0 {
		return nil
	}
	return a.budget.take(a, n, int64(float64(a.budget.bytes)*(1-smallShare)))
}

// Forget gives back n bytes that were kept.
func (a *Account) Forget(n int64) {
	if a != nil && n != 0 {
		a.budget.give(a, n)
	}
}

// Close gives back all bytes and the descriptor.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.giveLocked(a, a.held)
	if a.caller && !a.evicted {
		b.callers--
	}
	delete(b.accounts, a)
}

// Evicted reports whether the client has lost its connection.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}
