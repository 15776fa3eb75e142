package control

// Controller is what traffic goroutines see of the control goroutine.
type Controller interface {
	// View returns the current snapshot.
	View() *View
	// Changed returns a channel that is closed when the next View is published.
	Changed() <-chan struct{}
	// ReportEndpointError tells that a traffic connection to an endpoint failed,
	// so that it is polled at once.
	ReportEndpointError(pool, address string)
	// ReportTerm tells that a traffic goroutine saw a higher term on an endpoint.
	ReportTerm(pool string, term uint64)
}
