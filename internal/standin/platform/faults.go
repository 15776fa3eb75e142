package platform

// Faults are the fault switches of a stand-in.
type Faults struct {
	// Outage closes the connections of table and object requests without executing the
	// requests.
	Outage bool `json:"outage"`
	// HostListOutage closes the connections of requests for the host list.
	HostListOutage bool `json:"host_list_outage"`
	// DelayMs is the time before a table or object request takes effect, in
	// milliseconds. A request takes effect even if its client has disconnected by then.
	DelayMs int `json:"delay_ms"`
	// Hold keeps table and object requests from taking effect until it is cleared.
	Hold bool `json:"hold"`
	// LoseTableAnswers is the number of next table writes that take effect but whose
	// connections are closed without an answer.
	LoseTableAnswers int `json:"lose_table_answers"`
	// OutageAfterLoss starts an outage as soon as an answer is lost.
	OutageAfterLoss bool `json:"outage_after_loss"`
	// LoseObjectAnswers is the same as LoseTableAnswers for object writes.
	LoseObjectAnswers int `json:"lose_object_answers"`
	// HostListLagMs is the age of the host list that is served, in milliseconds.
	HostListLagMs int `json:"host_list_lag_ms"`
}
