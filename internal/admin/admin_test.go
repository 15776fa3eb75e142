package admin_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/admin"
	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against a load balancer that sends callers to a daemon that cannot
// serve them, and against a path that is missing or answers in the wrong
// format.
func TestAdminPaths(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	registry.Add(metrics.Requests, 2)
	notReady := errors.New("no manifest yet")
	srv := httptest.NewServer(admin.New(admin.Config{
		Metrics: registry,
		Ready:   func() error { return notReady },
		Status:  func() any { return &control.View{Generation: 5} },
		Explain: func(parameters url.Values) (any, error) {
			if parameters.Get("database") == "" {
				return nil, errors.New("no database")
			}
			return parameters, nil
		},
	}).Handler())
	defer srv.Close()

	get := func(path string) (int, string) {
		resp, err := http.Get(srv.URL + path)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body)
	}
	code, _ := get("/health")
	g.Expect(code).To(Equal(http.StatusOK))
	code, body := get("/ready")
	g.Expect(code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(ContainSubstring("no manifest yet"))
	notReady = nil
	code, _ = get("/ready")
	g.Expect(code).To(Equal(http.StatusOK))
	_, body = get("/metrics")
	g.Expect(body).To(ContainSubstring("beryltrestle_requests 2\n"))
	_, body = get("/metrics.json")
	g.Expect(body).To(MatchJSON(`{"requests": 2}`))
	_, body = get("/status")
	g.Expect(body).To(ContainSubstring(`"Generation": 5`))
	_, body = get("/explain?database=d")
	g.Expect(body).To(MatchJSON(`{"database": ["d"]}`))
	code, body = get("/explain")
	g.Expect(code).To(Equal(http.StatusBadRequest))
	g.Expect(body).To(ContainSubstring("no database"))
}
