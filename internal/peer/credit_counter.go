package peer

import peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"

// creditCounter returns credit to the owner as the sink consumes chunks.
type creditCounter struct {
	stream *stream
	id     []byte
	owed   int
}

// consume runs the sink for a chunk. Credit is returned once a whole chunk's
// worth was consumed, so that a short answer costs no credit message.
func (c *creditCounter) consume(a *peerv1.Answer, sink func([]byte) error) error {
	chunk := a.GetChunk()
	if len(chunk) == 0 {
		return nil
	}
	if err := sink(chunk); err != nil {
		return err
	}
	c.owed += len(chunk)
	if a.GetLast() || c.owed < ChunkSize {
		return nil
	}
	c.stream.send(nil, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_Credit{
		Credit: &peerv1.Credit{RequestId: c.id, Bytes: uint32(c.owed)},
	}})
	c.owed = 0
	return nil
}
