package membership

// State of a host.
type State uint8

// States of a host.
const (
	// Live hosts take part in placement.
	Live State = iota
	// Suspected hosts were not heard of lately. They take part in placement.
	Suspected
	// Leaving hosts take no part in placement.
	Leaving
)
