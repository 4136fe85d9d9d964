package coordinator

import (
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/base/compress"
)

// maxPlainBytes is the size up to which configurations, topologies and changes of them are sent
// uncompressed and at once.
const maxPlainBytes = 4 << 10

// encoded is a message in the form in which it is sent to many nodes: as it is, or compressed if it is
// large. One of the fields is set.
type encoded[T proto.Message] struct {
	plain      T
	compressed []byte
}

// encode returns a message as it is sent.
func encode[T proto.Message](m T, log *logrus.Entry) encoded[T] {
	if proto.Size(m) <= maxPlainBytes {
		return encoded[T]{plain: m}
	}
	data, err := compress.Message(m)
	if err != nil {
		log.WithError(err).WithField("event", "compression_failed").Warn("large message is sent uncompressed")
		return encoded[T]{plain: m}
	}
	return encoded[T]{compressed: data}
}

// size returns the size of the message as it is sent.
func (e encoded[T]) size() int {
	if e.compressed != nil {
		return len(e.compressed)
	}
	return proto.Size(e.plain)
}
