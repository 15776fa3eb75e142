package manifest

// Acceptance records that a manifest was accepted.
type Acceptance struct {
	Generation uint64 `json:"generation"`
	ApplyID    string `json:"apply_id"`
	Root       string `json:"root"`
}
