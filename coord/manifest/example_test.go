package manifest_test

import (
	"fmt"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/manifest"
	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// A host learns of generation 7 from a peer, fetches it, and then ignores an older one.
func ExampleTracker() {
	now := time.Unix(0, 0)
	t := manifest.NewTracker("a")
	t.SetHosts([]placement.Host{{Name: "a", Address: "10.0.0.1:1"}, {Name: "b", Address: "10.0.0.2:1"}})
	for _, f := range t.Observe(now, "10.0.0.2:1", 7) {
		fmt.Println("fetch from", f.From.Peer, "above", f.Since)
		fmt.Println("accepted:", t.Answered(now, f.From, 7))
	}
	fmt.Println("accepted:", t.Answered(now, manifest.Store, 6))
	// Output:
	// fetch from 10.0.0.2:1 above 0
	// accepted: true
	// accepted: false
}
