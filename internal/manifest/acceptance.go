package manifest

// Acceptance records that a manifest was accepted: its generation, the apply
// that wrote it and the hash of its root object.
type Acceptance struct {
	Generation uint64 `json:"generation"`
	ApplyID    string `json:"apply_id"`
	Root       string `json:"root"`
}
