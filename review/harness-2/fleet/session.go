package fleet

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Session is the session of a consumer.
type Session struct {
	conn net.Conn
	in   *bufio.Reader
}

// Reply is the answer to one statement.
type Reply struct {
	Rows   []string
	Digest string
	// Error is the code of an ERR message, or empty.
	Error string
	State string
}

// Connect opens a session. The error names the refusal if there is one.
func Connect(address, database, key string) (*Session, error) {
	c, err := net.DialTimeout("tcp4", address, callTimeout)
	if err != nil {
		return nil, err
	}
	s := &Session{conn: c, in: bufio.NewReader(c)}
	if err := s.send("START " + database + " " + key); err != nil {
		s.Close()
		return nil, err
	}
	line, err := s.line()
	if err != nil || !strings.HasPrefix(line, "READY ") {
		s.Close()
		return nil, fmt.Errorf("answer to START: %q %w", line, err)
	}
	return s, nil
}

// Close ends the session without QUIT.
func (s *Session) Close() { _ = s.conn.Close() }

func (s *Session) send(line string) error {
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err := s.conn.Write([]byte(line + "\r\n"))
	return err
}

func (s *Session) line() (string, error) {
	line, err := s.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// Query sends a statement and reads its whole answer.
func (s *Session) Query(id, text string) (Reply, error) {
	r := Reply{}
	if err := s.send("QUERY " + id + " " + text); err != nil {
		return r, err
	}
	for {
		line, err := s.line()
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "DONE":
			r.Digest = rest
		case "ERR":
			r.Error, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}
