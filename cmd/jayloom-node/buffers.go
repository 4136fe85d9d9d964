package main

import (
	"google.golang.org/grpc/experimental"
	"google.golang.org/grpc/mem"
)

// messageBufferSizes are the sizes in bytes of the buffers for messages between nodes.
//
// Load pattern: hundreds of nodes on thin links are sent a configuration of some tens of kilobytes, or voters a
// topology of some hundreds. gRPC's own sizes go from 32 KiB to 1 MiB at once, and each message on its way would
// hold 1 MiB.
var messageBufferSizes = []int{
	256, 4 << 10, 16 << 10, 32 << 10, 48 << 10, 64 << 10, 96 << 10, 128 << 10, 192 << 10, 256 << 10, 512 << 10, 1 << 20,
}

// useMessageBuffers sets the buffers of all gRPC clients and servers that are created after it.
func useMessageBuffers() {
	experimental.SetDefaultBufferPool(mem.NewTieredBufferPool(messageBufferSizes...))
}
