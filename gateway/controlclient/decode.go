package controlclient

import (
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/base/compress"
)

// decode returns a message that was sent as it is, or into the given empty one what was sent
// compressed.
func decode[T proto.Message](plain T, compressed []byte, empty T) (T, error) {
	if len(compressed) == 0 {
		return plain, nil
	}
	return empty, compress.ReadMessage(compressed, empty)
}
