package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Client is a consumer's session.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Answer is the answer to one query.
type Answer struct {
	Rows    []string
	Digest  string
	Refusal string
	State   string
}

// Connect opens a session at a node.
func (n *Node) Connect(database, key string, timeout time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", net.JoinHostPort(n.IP, strconv.Itoa(CallerPort)), timeout)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, "START "+database+" "+key+"\r\n"); err != nil {
		conn.Close()
		return nil, err
	}
	line, err := c.line()
	if err != nil {
		conn.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY ") {
		conn.Close()
		return nil, fmt.Errorf("%s", line)
	}
	return c, nil
}

func (c *Client) line() (string, error) {
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := c.reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		line += part
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// Query sends one query and reads its answer.
func (c *Client) Query(id, text string, timeout time.Duration) (Answer, error) {
	var a Answer
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.conn, "QUERY "+id+" "+text+"\r\n"); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "DONE":
			a.Digest = rest
		case "ERR":
			a.Refusal, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }
