package admission_test

import (
	"fmt"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

func ExampleNewScheduler() {
	now := time.Unix(0, 0)
	s := admission.NewScheduler(admission.Config{})
	s.SetEndpoints(now, []admission.Endpoint{
		{Name: "primary", Slots: 1, Primary: true, Accepting: true},
		{Name: "replica", Slots: 1, Accepting: true, Distance: time.Millisecond},
	})
	s.Enqueue(now, admission.Work{ID: 1, Session: "a", ReadOnly: true, Arrived: now, Deadline: now.Add(time.Second)})
	s.Enqueue(now, admission.Work{ID: 2, Session: "b", Arrived: now, Deadline: now.Add(time.Second)})
	grants, _ := s.Dispatch(now)
	for _, g := range grants {
		fmt.Println(g.Work.ID, g.Endpoint)
		s.Release(now, g, 4*time.Millisecond, false)
	}
	// Output:
	// 1 replica
	// 2 primary
}

func ExampleRetryBudget() {
	b := admission.NewRetryBudget(0.1, 1)
	fmt.Println(b.TryRetry(), b.TryRetry())
	for range 10 {
		b.CountRequest()
	}
	fmt.Println(b.TryRetry())
	// Output:
	// true false
	// true
}
