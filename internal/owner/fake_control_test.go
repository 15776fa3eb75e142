package owner_test

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/internal/control"
)

// fakeControl is a controller that publishes the views of a test.
type fakeControl struct {
	mu      sync.Mutex
	view    *control.View
	changed chan struct{}
	// viewRead is true once the Owner has read the last view. waitingForChange is true
	// once the Owner has called Changed after that, which means that it has applied
	// the view.
	viewRead, waitingForChange bool
}

func newFakeControl() *fakeControl { return &fakeControl{changed: make(chan struct{})} }

func (c *fakeControl) publish(g control.GroupView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = &control.View{Generation: 1, Groups: control.NewGroups(map[string]control.GroupView{poolName: g})}
	c.viewRead, c.waitingForChange = false, false
	c.notifyChange()
}

func (c *fakeControl) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// viewApplied reports whether the Owner has applied the last view.
func (c *fakeControl) viewApplied() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingForChange
}

func (c *fakeControl) View() *control.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.viewRead {
		c.viewRead = true
		c.notifyChange()
	}
	return c.view
}

func (c *fakeControl) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingForChange = c.waitingForChange || c.viewRead
	return c.changed
}

func (c *fakeControl) ReportEndpointError(string, string) {}

func (c *fakeControl) ReportTerm(string, uint64) {}
