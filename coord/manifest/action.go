package manifest

// Source is where a manifest is fetched from: the platform's store or a peer.
type Source struct {
	// Peer is the peer's address; empty for the store.
	Peer string
}

// Store is the platform's store as a source.
var Store = Source{}

// Fetch asks for what the source has above a generation.
type Fetch struct {
	From  Source
	Since uint64
}
