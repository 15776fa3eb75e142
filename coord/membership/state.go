package membership

// State is the state of a host.
type State uint8

// States of a host.
const (
	// Live hosts take part in placement.
	Live State = iota
	// Suspected hosts have sent no heartbeat for SuspectAfter. They take part in
	// placement.
	Suspected
	// Leaving hosts take no part in placement.
	Leaving
)
