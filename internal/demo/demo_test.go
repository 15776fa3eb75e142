package demo_test

import (
	"context"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/demo"
)

// Guards against a demo that breaks a guarantee or takes longer than documented.
func TestDemo(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r, err := demo.Run(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Write(os.Stdout)).To(Succeed())
	g.Expect(r.Violations).To(BeEmpty())
	g.Expect(r.Confirmed).To(BeNumerically(">", 100))
}
