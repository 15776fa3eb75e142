package control

// Controller gives traffic goroutines access to the control goroutine.
type Controller interface {
	// View returns the current snapshot.
	View() *View
	// Changed returns a channel that is closed when the next View is published.
	Changed() <-chan struct{}
	// ReportEndpointError reports that a traffic connection to an endpoint failed,
	// so that the control goroutine polls the endpoint at once.
	ReportEndpointError(pool, address string)
	// ReportTerm reports that a traffic goroutine saw a higher term on an endpoint.
	ReportTerm(pool string, term uint64)
}
