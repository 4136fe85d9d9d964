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
	// chunksHeld bounds what one connection keeps during a cut or delay, 4 MB. A
	// sender then blocks, as it does when its TCP window is full.
	chunksHeld = 256
)

// lane is the state of one direction for all connections.
type lane struct {
	mu    sync.Mutex
	delay time.Duration
	open  chan struct{} // closed while data may pass
	ended bool
}

func newLane() *lane {
	l := &lane{open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *lane) isOpen() bool {
	select {
	case <-l.open:
		return true
	default:
		return false
	}
}

func (l *lane) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch open := l.isOpen(); {
	case cut && open && !l.ended:
		l.open = make(chan struct{})
	case !cut && !open:
		close(l.open)
	}
}

// end lets everything pass, so that nothing waits when the relay closes.
func (l *lane) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.setCut(false)
}

func (l *lane) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

func (l *lane) due() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(l.delay)
}

// passable waits for the end of a cut.
func (l *lane) passable(ctx context.Context) {
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
	due  time.Time
}

// forward copies from source to sink until one of them ends. The end is passed on
// like data: behind it, and not during a cut.
func (l *lane) forward(ctx context.Context, sink, source net.Conn) {
	chunks := make(chan chunk, chunksHeld)
	gone := make(chan struct{})
	go l.read(source, chunks, gone)
	defer close(gone)
	for c := range chunks {
		l.passAt(ctx, c.due)
		if _, err := sink.Write(c.data); err != nil {
			source.Close()
			return
		}
	}
	l.passAt(ctx, l.due())
	closeWrite(sink)
}

func (l *lane) passAt(ctx context.Context, due time.Time) {
	if left := time.Until(due); left > 0 {
		select {
		case <-time.After(left):
		case <-ctx.Done():
		}
	}
	l.passable(ctx)
}

func (l *lane) read(source net.Conn, chunks chan<- chunk, gone <-chan struct{}) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{data: buffer[:n], due: l.due()}:
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
