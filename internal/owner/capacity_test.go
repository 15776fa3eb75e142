package owner

import (
	"fmt"
	"testing"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// Measures the time to apply a View in which this daemon owns no group. The owner
// applies a View after each status answer of an endpoint.
func BenchmarkApplyView(b *testing.B) {
	for _, n := range []int{6, 6800} {
		b.Run(fmt.Sprintf("pools=%d", n), func(b *testing.B) {
			views := make(map[string]control.GroupView)
			for i := range n {
				name := fmt.Sprintf("members-%04d", i)
				views[name] = control.GroupView{Pool: manifest.Pool{Name: name}}
			}
			v := &control.View{Groups: control.NewGroups(views)}
			o := New(Config{Controller: fixedView{v}})
			for b.Loop() {
				o.applyView()
			}
		})
	}
}

// fixedView is a controller whose View never changes.
type fixedView struct{ v *control.View }

func (f fixedView) View() *control.View             { return f.v }
func (f fixedView) Changed() <-chan struct{}        { return nil }
func (f fixedView) ReportEndpointError(_, _ string) {}
func (f fixedView) ReportTerm(_ string, _ uint64)   {}
