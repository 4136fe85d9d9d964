package fleet

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Link is a network link that all bytes of some servers pass. It passes them at its bandwidth.
type Link struct {
	mu   sync.Mutex
	free time.Time
	// BytesPerSecond is the bandwidth.
	BytesPerSecond float64
}

// Pass waits until a number of bytes has passed.
func (l *Link) Pass(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.BytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// LargeRows stands before a server and gives the rows of items whose name begins with "large" a length. Such a read
// occupies one of its slots while the server works on it and until the whole row is sent.
type LargeRows struct {
	Address string
	target  string
	bytes   int
	link    *Link
	slots   chan struct{}
	work    time.Duration
	lis     net.Listener
}

// NewLargeRows starts one for a server at an address, with a number of slots and the time of the work on a read.
func NewLargeRows(target string, bytes int, link *Link, slots int, work time.Duration) (*LargeRows, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &LargeRows{
		Address: l.Addr().String(), target: target, bytes: bytes, link: link, slots: make(chan struct{}, slots), work: work, lis: l,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// Close ends it.
func (r *LargeRows) Close() { _ = r.lis.Close() }

func (r *LargeRows) serve(c net.Conn) {
	defer c.Close()
	up, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	// asked holds, for each message of the node without an answer, whether its rows are large.
	var mu sync.Mutex
	var asked []bool
	go func() {
		defer up.Close()
		in := bufio.NewReader(c)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			mu.Lock()
			asked = append(asked, strings.Contains(line, "READ large"))
			mu.Unlock()
			if _, err := io.WriteString(up, line); err != nil {
				return
			}
		}
	}()
	in := bufio.NewReader(up)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		mu.Lock()
		large := len(asked) > 0 && asked[0]
		if strings.HasPrefix(line, "READY ") && len(asked) > 0 {
			asked = asked[1:]
		}
		mu.Unlock()
		if large && strings.HasPrefix(line, "ROW ") {
			err = r.sendLarge(c)
		} else {
			r.link.Pass(len(line))
			_, err = io.WriteString(c, line)
		}
		if err != nil {
			return
		}
	}
}

// sendLarge works on a read and sends its row.
func (r *LargeRows) sendLarge(c net.Conn) error {
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	time.Sleep(r.work)
	line := "ROW " + strings.Repeat("x", r.bytes) + "\r\n"
	for len(line) > 0 {
		part := line[:min(len(line), 64<<10)]
		r.link.Pass(len(part))
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
		line = line[len(part):]
	}
	return nil
}
