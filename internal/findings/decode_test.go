package findings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

type inner struct {
	Port int  `json:"port"`
	On   bool `json:"on"`
}

type outer struct {
	Name  string  `json:"name"`
	Items []inner `json:"items"`
}

// Guards against reporting only one mistake for each run of a check.
func TestDecodeReportsAllFindingsInOnePass(t *testing.T) {
	g := NewWithT(t)
	var v outer
	list, complete := findings.Decode([]byte(`{"name": 3, "unit": "x", "items": [
		{"port": "1", "on": null}, {"port": 1.5, "port": 2}, 7], "a/b": 1}`), &v)
	g.Expect(complete).To(BeTrue())
	pointers := make([]string, len(list))
	for i, f := range list {
		pointers[i] = f.Pointer
		g.Expect(f.Problem).NotTo(BeEmpty())
		g.Expect(f.Remedy).NotTo(BeEmpty())
	}
	g.Expect(pointers).To(ConsistOf("/name", "/unit", "/items/0/port", "/items/0/on",
		"/items/1/port", "/items/1/port", "/items/2", "/a~1b"))
}

// Guards against a syntax error that hides the findings before it, and against
// a syntax error without its position.
func TestDecodeReportsSyntaxErrorWithOffset(t *testing.T) {
	g := NewWithT(t)
	for text, offset := range map[string]string{
		`{"unit": 1, "name" "x"}`: "offset 19",
		`{"unit": 1, "name": "x"`: "offset 23",
		`{"unit": 1} {}`:          "offset 11",
	} {
		var v outer
		list, complete := findings.Decode([]byte(text), &v)
		g.Expect(complete).To(BeFalse(), text)
		g.Expect(list).To(HaveLen(2), text)
		g.Expect(list.Error()).To(And(ContainSubstring("unit"), ContainSubstring(offset)), text)
	}
}

// Guards against stack exhaustion by deeply nested input.
func TestDecodeBoundsNesting(t *testing.T) {
	g := NewWithT(t)
	var v outer
	list, complete := findings.Decode([]byte(strings.Repeat("[", 1<<20)), &v)
	g.Expect(complete).To(BeFalse())
	g.Expect(list.Error()).To(ContainSubstring("nesting"))
}
