package confirm_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/confirm"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

func pos(term, offset uint64) logpos.Position { return logpos.Position{Term: term, Offset: offset} }

func Example() {
	t := confirm.New(7, []string{"a", "b", "c"})
	t.Observe("a", 7, pos(7, 12), at(0))
	t.Observe("b", 7, pos(7, 9), at(5))
	fmt.Println(t.Received(), t.TermSeen().Equal(at(0)))
	t.Observe("c", 8, pos(7, 9), at(6))
	fmt.Println(t.Superseded())
	// Output:
	// 7/9 true
	// 8 true
}

// Guards against a write that is confirmed because a majority holds an entry of
// an earlier term, which the next primary may still cut off.
func TestReceivedIgnoresEarlierTerms(t *testing.T) {
	g := NewWithT(t)
	c := confirm.New(7, []string{"a", "b", "c"})
	for _, name := range []string{"a", "b", "c"} {
		c.Observe(name, 7, pos(6, 50), at(0))
	}
	g.Expect(c.Received()).To(Equal(logpos.Position{}))
}

// Guards against a lease or a confirmation that rests on an endpoint which has
// moved to another term.
func TestAnswersOfOtherTermsDoNotCount(t *testing.T) {
	g := NewWithT(t)
	c := confirm.New(7, []string{"a", "b", "c"})
	c.Observe("a", 7, pos(7, 5), at(1))
	c.Observe("b", 8, pos(7, 5), at(2))
	c.Observe("c", 6, pos(6, 5), at(3))
	c.Observe("stranger", 7, pos(7, 5), at(4))
	g.Expect(c.TermSeen()).To(BeZero())
	g.Expect(c.Received()).To(Equal(logpos.Position{}))
}
