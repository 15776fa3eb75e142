package manifest

// Source is where a manifest is fetched from: the platform's store or a peer.
type Source struct {
	// Peer is the peer's address; empty for the store.
	Peer string
}

// Store is the source for the platform's store.
var Store = Source{}

// Fetch is a request to fetch what the source has above the generation Since.
type Fetch struct {
	From  Source
	Since uint64
}
