package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of one read.
	chunkBytes = 16 << 10
	// maxBufferedChunks bounds what one connection keeps during a cut or delay, 4 MB. A
	// sender then blocks, as it does when its TCP window is full.
	maxBufferedChunks = 256
)

// link is the state of one direction for all connections.
type link struct {
	mu    sync.Mutex
	delay time.Duration
	open  chan struct{} // closed while data may pass
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

// close lets everything pass, so that nothing waits when the relay closes.
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

func (l *link) deliveryTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(l.delay)
}

// waitUntilOpen waits for the end of a cut.
func (l *link) waitUntilOpen(ctx context.Context) {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	select {
	case <-open:
	case <-ctx.Done():
	}
}

// chunk is data that may be forwarded from a time on.
type chunk struct {
	data []byte
	deliverAt  time.Time
}

// forward copies from source to sink until one of them ends. The end is passed on
// like data: behind it, and not during a cut.
func (l *link) forward(ctx context.Context, sink, source net.Conn) {
	chunks := make(chan chunk, maxBufferedChunks)
	gone := make(chan struct{})
	go l.readChunks(source, chunks, gone)
	defer close(gone)
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

func (l *link) waitForDelivery(ctx context.Context, due time.Time) {
	if left := time.Until(due); left > 0 {
		select {
		case <-time.After(left):
		case <-ctx.Done():
		}
	}
	l.waitUntilOpen(ctx)
}

func (l *link) readChunks(source net.Conn, chunks chan<- chunk, gone <-chan struct{}) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{data: buffer[:n], deliverAt: l.deliveryTime()}:
			case <-gone:
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
		// It fails only if the connection is gone, which is what it is for.
		_ = tcp.CloseWrite()
	}
}
