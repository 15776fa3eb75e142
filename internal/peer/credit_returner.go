package peer

import peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"

// creditReturner returns credit to the owner as the sink consumes chunks.
type creditReturner struct {
	stream *clientStream
	id     []byte
	// unreturned is the number of bytes consumed since the last credit message.
	unreturned int
}

// deliver passes a chunk to the sink. It returns credit once ChunkSize bytes
// were consumed, so that a short answer needs no credit message.
func (c *creditReturner) deliver(a *peerv1.Answer, sink func([]byte) error) error {
	chunk := a.GetChunk()
	if len(chunk) == 0 {
		return nil
	}
	if err := sink(chunk); err != nil {
		return err
	}
	c.unreturned += len(chunk)
	if a.GetLast() || c.unreturned < ChunkSize {
		return nil
	}
	c.stream.send(nil, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_Credit{
		Credit: &peerv1.Credit{RequestId: c.id, Bytes: uint32(c.unreturned)},
	}})
	c.unreturned = 0
	return nil
}
