package platform

// Faults are the switches of a stand-in.
type Faults struct {
	// Outage closes the connection of each table and object request, which does
	// not take effect.
	Outage bool `json:"outage"`
	// HostListOutage does the same for the host list.
	HostListOutage bool `json:"host_list_outage"`
	// DelayMs is the time before a table or object request takes effect, in
	// milliseconds. A request takes effect even if its client has gone by then.
	DelayMs int `json:"delay_ms"`
	// Hold keeps table and object requests from taking effect until it is cleared.
	Hold bool `json:"hold"`
	// LoseTableAnswers is the number of table writes to come that take effect but
	// whose connection is closed without an answer.
	LoseTableAnswers int `json:"lose_table_answers"`
	// OutageAfterLoss starts an outage when a table answer is lost.
	OutageAfterLoss bool `json:"outage_after_loss"`
	// LoseObjectAnswers is the same for object writes.
	LoseObjectAnswers int `json:"lose_object_answers"`
	// HostListLagMs is the age of the host list that is served, in milliseconds.
	HostListLagMs int `json:"host_list_lag_ms"`
}
