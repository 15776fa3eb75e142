package owner

import "github.com/beryltrestle/beryltrestle/internal/peer"

// output collects the answer of a batch. Up to streamThreshold bytes are kept
// until the answer is confirmed; a larger answer is sent while it is read.
type output struct {
	w     peer.AnswerWriter
	parts [][]byte
	size  int
	// keepAll keeps answers of any size until they are confirmed. The answer to a
	// write must not be dropped, since the write has run.
	keepAll bool
	// allow is asked once before streaming begins; false drops the rest.
	allow func() bool
	// streaming is true once answer bytes were sent before the batch's end.
	streaming bool
	dropped   bool
	// gone is true once the entry could not be reached.
	gone bool
}

func (b *output) reset() {
	b.parts = nil
	b.size = 0
	b.dropped = false
}

func (b *output) add(msg []byte) {
	if b.dropped {
		return
	}
	b.parts = append(b.parts, msg)
	b.size += len(msg)
	if b.size <= streamThreshold || b.keepAll {
		return
	}
	if !b.streaming && !b.allow() {
		b.dropped = true
		b.parts = nil
		return
	}
	b.streaming = true
	b.flush()
}

func (b *output) bytes() []byte {
	all := make([]byte, 0, b.size)
	for _, p := range b.parts {
		all = append(all, p...)
	}
	return all
}

// flush sends what was collected. The collected parts are kept unless the
// answer is streamed.
func (b *output) flush() {
	if !b.gone {
		_, err := b.w.Write(b.bytes())
		b.gone = err != nil
	}
	if b.streaming {
		b.parts = nil
		b.size = 0
	}
}

// setStatus sets the transaction status in the final ReadyForQuery.
func (b *output) setStatus(status byte) {
	if len(b.parts) == 0 {
		return
	}
	last := b.parts[len(b.parts)-1]
	if last[0] == 'Z' && len(last) == 6 {
		last[5] = status
	}
}
