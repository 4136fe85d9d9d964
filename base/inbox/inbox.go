// Package inbox delivers the messages of a stream on a channel, for goroutines that also wait
// for other events.
package inbox

import "context"

// maxQueued bounds the messages that are read ahead of the receiver.
const maxQueued = 16

// Message is a message of a stream, or the error that ended it.
type Message[T any] struct {
	Body T
	// Err is the error that ended the stream. Body is not valid if it is set.
	Err error
}

// Receive calls next until it fails or ctx ends. The last message carries the error of next; the
// channel is never closed.
func Receive[T any](ctx context.Context, next func() (T, error)) <-chan Message[T] {
	messages := make(chan Message[T], maxQueued)
	go func() {
		for {
			body, err := next()
			select {
			case messages <- Message[T]{body, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return messages
}
