package main

import (
	"testing"

	"google.golang.org/grpc/mem"
)

// Load pattern: 300 nodes on thin links are sent a configuration of 33 to 60 KB at the same time. Guards against a
// buffer of 1 MiB for each, which takes the leader to its memory limit, where the garbage collector runs without end.
func TestBuffersOfMediumMessagesAreNotMuchLarger(t *testing.T) {
	pool := mem.NewTieredBufferPool(messageBufferSizes...)
	for bytes := 33 << 10; bytes <= 1<<20; bytes += 7 << 10 {
		buffer := pool.Get(bytes)
		if got := cap(*buffer); got > 2*bytes {
			t.Errorf("a message of %d bytes holds a buffer of %d", bytes, got)
		}
		pool.Put(buffer)
	}
}
