package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the read buffer.
	chunkBytes = 16 << 10
	// maxBufferedChunks bounds the data buffered per connection and direction during
	// a cut or delay to 4 MB. After that the sender blocks, as with a full TCP
	// window.
	maxBufferedChunks = 256
)

// link is the state of one direction, shared by all connections.
type link struct {
	mu     sync.Mutex
	delay  time.Duration
	open   chan struct{} // closed while data may pass; replaced during a cut
	closed bool
}

func newLink() *link {
	l := &link{open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *link) isOpen() bool {
	select {
	case <-l.open:
		return true
	default:
		return false
	}
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch open := l.isOpen(); {
	case cut && open && !l.closed:
		l.open = make(chan struct{})
	case !cut && !open:
		close(l.open)
	}
}

// close ends a cut and prevents new ones, so that no goroutine waits while the relay
// closes.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.setCut(false)
}

func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// deliveryTime returns the time at which data that arrives now is forwarded.
func (l *link) deliveryTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(l.delay)
}

// waitUntilOpen waits until the direction is not cut.
func (l *link) waitUntilOpen(ctx context.Context) {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	select {
	case <-open:
	case <-ctx.Done():
	}
}

// chunk is data that is forwarded at deliverAt or later.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// forward copies data from source to sink until one of them ends. The end of source
// is delayed and held like data and reaches sink after all data.
func (l *link) forward(ctx context.Context, sink, source net.Conn) {
	chunks := make(chan chunk, maxBufferedChunks)
	done := make(chan struct{})
	go l.readChunks(source, chunks, done)
	defer close(done)
	for c := range chunks {
		l.waitForDelivery(ctx, c.deliverAt)
		if _, err := sink.Write(c.data); err != nil {
			source.Close()
			return
		}
	}
	l.waitForDelivery(ctx, l.deliveryTime())
	closeWrite(sink)
}

// waitForDelivery waits until deliverAt and until the direction is not cut.
func (l *link) waitForDelivery(ctx context.Context, deliverAt time.Time) {
	if remaining := time.Until(deliverAt); remaining > 0 {
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
		}
	}
	l.waitUntilOpen(ctx)
}

// readChunks reads from source until it ends or done is closed, and closes chunks.
func (l *link) readChunks(source net.Conn, chunks chan<- chunk, done <-chan struct{}) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{data: buffer[:n], deliverAt: l.deliveryTime()}:
			case <-done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.CloseWrite()
	}
}
