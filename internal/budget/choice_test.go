package budget

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a client at work that loses its connection while another one makes no
// progress or holds more.
func TestChooseForBytes(t *testing.T) {
	now := time.Unix(1000, 0)
	before, justNow := now.Add(-2*stallTime), now.Add(-stallTime/2)
	for name, test := range map[string]struct {
		clients map[string]Client
		want    string
		stalled bool
	}{
		"stalled before largest": {map[string]Client{"a": {10, Awaited, before}, "b": {90, Awaited, justNow}}, "a", true},
		"largest of the stalled": {map[string]Client{"a": {10, Awaited, before}, "b": {20, Awaited, before}, "c": {90, Idle, before}}, "b", true},
		"largest":                {map[string]Client{"a": {60, Awaited, justNow}, "b": {90, Idle, before}}, "b", false},
		"none holds more":        {map[string]Client{"a": {50, Awaited, justNow}, "b": {40, Idle, before}}, "", false},
		"statement runs":         {map[string]Client{"a": {90, Working, before}}, "", false},
	} {
		g := NewWithT(t)
		got, stalled, ok := ChooseForBytes(now, 50, maps.All(test.clients))
		g.Expect(ok).To(Equal(test.want != ""), name)
		g.Expect(got).To(Equal(test.want), name)
		g.Expect(stalled).To(Equal(test.stalled), name)
	}
}

// Guards against a caller at work that loses its connection to a new one.
func TestChooseForDescriptor(t *testing.T) {
	now := time.Unix(1000, 0)
	before, justNow := now.Add(-2*idleTime), now.Add(-stallTime/2)
	for name, test := range map[string]struct {
		clients map[string]Client
		want    string
	}{
		"stalled before idle":  {map[string]Client{"a": {0, Awaited, now.Add(-stallTime)}, "b": {0, Idle, before}}, "a"},
		"longest stalled":      {map[string]Client{"a": {0, Awaited, now.Add(-stallTime)}, "b": {0, Awaited, before}}, "b"},
		"longest idle":         {map[string]Client{"a": {0, Idle, before}, "b": {0, Idle, now.Add(-idleTime)}}, "a"},
		"all have just worked": {map[string]Client{"a": {0, Idle, justNow}, "b": {0, Awaited, justNow}, "c": {0, Working, before}}, ""},
	} {
		g := NewWithT(t)
		got, _, ok := ChooseForDescriptor(now, maps.All(test.clients))
		g.Expect(ok).To(Equal(test.want != ""), name)
		g.Expect(got).To(Equal(test.want), name)
	}
}

// Guards against callers that leave no descriptors for endpoints and other hosts.
func TestMaxCallers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(maxCallers(3010, 100)).To(Equal(2258))
	g.Expect(maxCallers(3010, 1000)).To(Equal(1634))
	g.Expect(maxCallers(400, 180)).To(Equal(170))
	g.Expect(maxCallers(400, 400)).To(Equal(50))
}
