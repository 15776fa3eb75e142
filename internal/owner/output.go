package owner

import "github.com/beryltrestle/beryltrestle/internal/peer"

// output buffers the answer to a batch until the answer is confirmed. An answer larger
// than streamThreshold is sent to the entry while it is read.
type output struct {
	writer peer.AnswerWriter
	parts  [][]byte
	size   int
	// bufferAll disables streaming. It is set for writes: streaming may drop the rest
	// of an answer, and a write that has run needs its answer.
	bufferAll bool
	// allowStreaming is called once before streaming begins. If it returns false, the
	// answer is dropped.
	allowStreaming func() bool
	// streaming is true once a part of the answer was sent before the batch ended.
	streaming bool
	// dropped is true once allowStreaming has returned false. The rest of the answer is
	// then discarded, too.
	dropped bool
	// writeFailed is true after a write to the entry failed; nothing more is sent.
	writeFailed bool
}

// reset discards the buffered parts, so that the batch can run again.
func (b *output) reset() {
	b.parts = nil
	b.size = 0
	b.dropped = false
}

// add appends a message of the answer, and sends the buffer if the answer is streamed.
func (b *output) add(msg []byte) {
	if b.dropped {
		return
	}
	b.parts = append(b.parts, msg)
	b.size += len(msg)
	if b.size <= streamThreshold || b.bufferAll {
		return
	}
	if !b.streaming && !b.allowStreaming() {
		b.dropped = true
		b.parts = nil
		return
	}
	b.streaming = true
	b.flush()
}

// bytes returns the buffered parts as one slice.
func (b *output) bytes() []byte {
	all := make([]byte, 0, b.size)
	for _, p := range b.parts {
		all = append(all, p...)
	}
	return all
}

// flush sends the buffered parts. They stay in the buffer unless the answer is
// streamed.
func (b *output) flush() {
	if !b.writeFailed {
		_, err := b.writer.Write(b.bytes())
		b.writeFailed = err != nil
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
