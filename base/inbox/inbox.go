// Package inbox turns the messages of a stream into a channel, for a goroutine that also
// waits for other events.
package inbox

import "context"

// size bounds the messages that wait to be handled.
const size = 16

// Message is a message of a stream, or its end.
type Message[T any] struct {
	Body T
	// Err is the end of the stream.
	Err error
}

// Receive reads a stream until it or ctx ends. The end is the last message.
func Receive[T any](ctx context.Context, next func() (T, error)) <-chan Message[T] {
	messages := make(chan Message[T], size)
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
