package outcomes_test

import (
	"fmt"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/outcomes"
)

func at(s int) time.Time { return time.Unix(int64(1_000_000+s), 0) }

func pos(term, offset uint64) logpos.Position { return logpos.Position{Term: term, Offset: offset} }

func ExampleTable() {
	t := outcomes.New(32<<10, 10*time.Second)
	id := outcomes.ID{1}
	fmt.Println(t.Begin(id, at(0)))
	t.Finish(id, at(1), outcomes.Record{Outcome: outcomes.Done, Answer: []byte("ok"), HasAnswer: true})
	r := t.Query(id, at(2))
	fmt.Println(r.Outcome, string(r.Answer))
	fmt.Println(t.Query(outcomes.ID{2}, at(2)).Outcome, t.Begin(outcomes.ID{2}, at(3)))
	// Output:
	// true
	// done ok
	// not_run false
}

func ExampleResolve() {
	promotion := pos(4, 100)
	fmt.Println(outcomes.Resolve(outcomes.WriteBounds{Lower: pos(4, 100)}, promotion))
	fmt.Println(outcomes.Resolve(outcomes.WriteBounds{Lower: pos(4, 90), Upper: pos(4, 100), UpperKnown: true}, promotion))
	fmt.Println(outcomes.Resolve(outcomes.WriteBounds{Lower: pos(4, 90)}, promotion))
	// Output:
	// not_run
	// done
	// unknown
}
