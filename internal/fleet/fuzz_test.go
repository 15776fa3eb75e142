package fleet

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// Guards against a message of another host that ends the process, or whose numbers wrap
// around.
func FuzzMessages(f *testing.F) {
	seed, err := proto.Marshal(&fleetv1.News{Host: "h1", AgesUs: map[string]int64{"state": -1}, Groups: []*fleetv1.GroupNews{{Group: "g", AgeUs: 1 << 62}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var news fleetv1.News
		if proto.Unmarshal(data, &news) == nil {
			msg := decodeGossip(&news)
			for table, age := range msg.MirrorAges {
				if age < 0 {
					t.Errorf("age of %s is %v", table, age)
				}
			}
			encodeGossip(msg)
		}
		var request fleetv1.RelayRequest
		if proto.Unmarshal(data, &request) == nil {
			if r := decodeRelayRequest(&request); r.Timeout < 0 || r.Timeout > time.Hour {
				t.Errorf("timeout is %v", r.Timeout)
			}
		}
		var response fleetv1.RelayResponse
		if proto.Unmarshal(data, &response) == nil && validReply(&response) {
			encodeReply(decodeReply(&response))
		}
	})
}
