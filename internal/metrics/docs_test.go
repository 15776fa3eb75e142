package metrics_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against metrics that operators cannot look up in the documentation.
func TestEveryMetricIsDocumented(t *testing.T) {
	g := NewWithT(t)
	source, err := os.ReadFile("names.go")
	g.Expect(err).NotTo(HaveOccurred())
	docs, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range regexp.MustCompile(`Name = "([a-z_.]+)"`).FindAllSubmatch(source, -1) {
		name := string(m[1])
		g.Expect(strings.Contains(string(docs), "`"+name+"`")).To(BeTrue(), name)
	}
}
