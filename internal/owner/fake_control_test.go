package owner_test

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/internal/control"
)

// fakeControl publishes the views of a test.
type fakeControl struct {
	mu      sync.Mutex
	view    *control.View
	changed chan struct{}
	// read is true once the Owner has read the last view, and waiting once it has
	// asked for a change after that, so that it has applied the view before.
	read, waiting bool
}

func newFakeControl() *fakeControl { return &fakeControl{changed: make(chan struct{})} }

func (c *fakeControl) publish(g control.GroupView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = &control.View{Generation: 1, Groups: control.NewGroups(map[string]control.GroupView{poolName: g})}
	c.read, c.waiting = false, false
	c.wake()
}

func (c *fakeControl) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// taken reports whether the Owner has applied the last view.
func (c *fakeControl) taken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

func (c *fakeControl) View() *control.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read {
		c.read = true
		c.wake()
	}
	return c.view
}

func (c *fakeControl) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = c.waiting || c.read
	return c.changed
}

func (c *fakeControl) ReportEndpointError(string, string) {}

func (c *fakeControl) ReportTerm(string, uint64) {}
