package admission

const (
	// windowShrink is the factor by which a refusal shrinks the window.
	windowShrink = 0.75
	// windowGrow is what a whole window of answers adds.
	windowGrow = 1.0
)

// Window bounds the requests that one host has under way at an endpoint that many
// hosts share. The endpoint queues a fixed number and sheds the rest; hosts do not
// know each other's share. Each host shrinks its window when the endpoint sheds a
// request and grows it with answers, so that work waits at the hosts, in order of
// priority, instead of being sent to be shed. Load: all reads of a group at one
// replica while the others lag. It is not safe for concurrent use.
type Window struct {
	size, most float64
}

// NewWindow returns a window that is open up to the limit.
func NewWindow(limit int) *Window { return &Window{size: float64(limit), most: float64(limit)} }

// SetLimit bounds the window. An open window follows a higher limit.
func (w *Window) SetLimit(limit int) {
	open := w.size >= w.most
	w.most = float64(max(limit, 1))
	if open || w.size > w.most {
		w.size = w.most
	}
}

// Allows reports whether another request may be sent while n are under way.
func (w *Window) Allows(n int) bool { return float64(n) < max(w.size, 1) }

// Answered records that the endpoint took a request.
func (w *Window) Answered() { w.size = min(w.size+windowGrow/max(w.size, 1), w.most) }

// Shed records that the endpoint had no room.
func (w *Window) Shed() { w.size = max(w.size*windowShrink, 1) }
