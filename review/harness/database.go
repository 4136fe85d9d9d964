package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a commit in the log of a database server.
type entry struct {
	term, number uint64
	// ids are the identities of the statements of the commit, the last one that of the COMMIT if
	// there was one.
	ids []string
	at  time.Time
}

// execution is a statement that a server has run for a consumer.
type execution struct {
	at         time.Time
	server     string
	id, text   string
	session    int
	singleOrTx bool
	// ended is when the work was done, before a wait for replicas.
	ended time.Time
}

// group is a service: one primary and its replicas.
type group struct {
	service      string
	sync         int
	slots        int
	queue        int
	maxConns     int
	promoteAfter time.Duration
	rec          *record

	mu       sync.Mutex
	cond     *sync.Cond
	term     uint64
	primary  *server
	servers  []*server
	runs     []execution
	sessions int
	// onPromote is called with mu held after a promotion.
	onPromote func(*server)
}

// server is one database server of a group.
type server struct {
	g         *group
	id        string
	address   string
	listener  net.Listener
	receive   time.Duration
	up        bool
	draining  bool
	log       []entry
	paused    uint64
	busy      int
	waiting   int
	conns     map[net.Conn]bool
	startedAt time.Time
	sequence  int
	work      time.Duration
}

func newGroup(rec *record, service string, syncReplicas int) *group {
	g := &group{service: service, sync: syncReplicas, slots: 3, queue: 24, maxConns: 50, promoteAfter: time.Second, rec: rec, term: 1}
	g.cond = sync.NewCond(&g.mu)
	return g
}

// addServer starts a server that receives commits after a delay. It begins with a copy of the
// primary's log.
func (g *group) addServer(ip, id string, receive, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{
		g: g, id: id, address: l.Addr().String(), listener: l, receive: receive, up: true,
		conns: map[net.Conn]bool{}, startedAt: time.Now(), work: work,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == nil {
		g.primary = s
	}
	s.log = append(s.log, g.primary.log...)
	g.servers = append(g.servers, s)
	go s.accept()
	go s.replicate()
	return s, nil
}

// replicate receives the commits of the primary while the server is a replica and not paused. What
// the primary has sent arrives also if it crashes.
func (s *server) replicate() {
	g := s.g
	for {
		g.mu.Lock()
		if s.up && s.paused <= g.term && g.primary != s {
			from := g.primary
			for len(s.log) < len(from.log) {
				next := from.log[len(s.log)]
				if time.Since(next.at) < s.receive {
					break
				}
				s.log = append(s.log, next)
				g.cond.Broadcast()
			}
		}
		g.mu.Unlock()
		time.Sleep(200 * time.Microsecond)
	}
}

// position returns the position of the server's log. The caller holds mu.
func (s *server) position() string {
	if len(s.log) == 0 {
		return fmt.Sprintf("%d.0", 1)
	}
	last := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// has reports whether the server's log has a position. The caller holds mu.
func (s *server) has(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	if number == 0 {
		return true
	}
	if len(s.log) == 0 {
		return false
	}
	last := s.log[len(s.log)-1]
	return last.term > term || last.term == term && last.number >= number
}

// promote makes a server the primary of the next term, with what it has received.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id || !s.up {
			continue
		}
		if g.primary == s {
			return true
		}
		g.term++
		g.primary = s
		s.paused = 0
		for _, other := range g.servers {
			if len(other.log) > len(s.log) {
				other.log = append([]entry(nil), other.log[:len(s.log)]...)
			}
			if other.paused <= g.term {
				other.paused = 0
			}
		}
		g.rec.note("server %s leads term %d with %d commits", id, g.term, len(s.log))
		if g.onPromote != nil {
			g.onPromote(s)
		}
		g.cond.Broadcast()
		return true
	}
	return false
}

// stop ends a server: it closes all connections and accepts no new ones.
func (s *server) stop() {
	s.g.mu.Lock()
	s.up = false
	conns := s.conns
	s.conns = map[net.Conn]bool{}
	s.g.cond.Broadcast()
	s.g.mu.Unlock()
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// splitLines is a bufio.SplitFunc for lines that end with CR LF.
func splitLines(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.Index(data, []byte("\r\n")); i >= 0 {
		return i + 2, data[:i], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// session is one connection to a server.
type session struct {
	s        *server
	conn     net.Conn
	number   int
	state    string
	readOnly bool
	term     uint64
	writes   []string
	ran      bool
	prepared map[string]string
}

func (s *server) serve(c net.Conn) {
	g := s.g
	g.mu.Lock()
	full := len(s.conns) >= g.maxConns
	if !full {
		s.conns[c] = true
	}
	g.sessions++
	x := &session{s: s, conn: c, number: g.sessions, state: "I", prepared: map[string]string{}}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(s.conns, c)
		g.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, 64<<10), 2<<20)
	in.Split(splitLines)
	for started := false; in.Scan(); started = true {
		word, rest, _ := strings.Cut(in.Text(), " ")
		if !started {
			f := strings.Fields(rest)
			if full {
				_, _ = fmt.Fprint(c, "ERR TOOMANY "+s.id+"\r\n")
				return
			}
			if word != "START" || len(f) < 2 || f[0] != g.service || len(f) > 2 && f[2] != s.id {
				_, _ = fmt.Fprint(c, "ERR MISROUTED "+s.id+"\r\n")
				return
			}
			time.Sleep(12 * time.Millisecond)
			g.mu.Lock()
			p := s.position()
			g.mu.Unlock()
			_, _ = fmt.Fprintf(c, "READY I %s\r\n", p)
			continue
		}
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		body := x.execute(id, text)
		if body == "" {
			return
		}
		g.mu.Lock()
		p := s.position()
		up := s.up
		g.mu.Unlock()
		if !up {
			return
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", body, x.state, p); err != nil {
			return
		}
	}
}

func (x *session) err(code string) string { return "ERR " + code + " " + x.s.id + "\r\n" }

// leads reports whether the server is the primary of the transaction's term. The caller holds mu.
func (x *session) leads() bool { return x.s.g.primary == x.s }

// execute runs a statement and returns its answer without READY, or nothing if the connection is to
// be closed without an answer.
func (x *session) execute(id, text string) string {
	s, g := x.s, x.s.g
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		var after string
		after, text, _ = strings.Cut(rest, " ")
		g.mu.Lock()
		ok := s.has(after)
		g.mu.Unlock()
		if !ok {
			return x.err("BEHIND")
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	if x.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return x.err("BAD")
	}
	switch word {
	case "BEGIN":
		g.mu.Lock()
		defer g.mu.Unlock()
		if rest != "READ" && !x.leads() {
			return x.err("READONLY")
		}
		x.state, x.readOnly, x.term, x.writes, x.ran = "T", rest == "READ", g.term, nil, false
		return "DONE -\r\n"
	case "ROLLBACK":
		x.state, x.writes = "I", nil
		return "DONE -\r\n"
	case "RESET":
		clear(x.prepared)
		return "DONE -\r\n"
	case "SET", "CLOSE":
		return "DONE -\r\n"
	case "PREPARE":
		f := strings.Fields(rest)
		if len(f) < 2 {
			return x.err("BAD")
		}
		x.prepared[f[0]] = f[1]
		return "DONE -\r\n"
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return x.command(word, rest)
	}
	return x.runStatement(id, text, word, rest)
}

// command runs a command of the system and returns the status row.
func (x *session) command(word, rest string) string {
	s, g := x.s, x.s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(strings.TrimSpace(rest), 10, 64)
	switch {
	case word == "PAUSE" && term > g.term && g.primary != s:
		if s.paused == 0 {
			g.rec.note("server %s is paused with %d commits", s.id, len(s.log))
		}
		s.paused = term
	case word == "RESUME":
		s.paused = 0
	}
	role := "replica"
	if g.primary == s {
		role = "primary"
	}
	lag := 0
	if g.primary != s {
		lag = int(s.receive.Milliseconds())
	}
	return fmt.Sprintf("ROW %s %d %s %d %d %d %d\r\nDONE -\r\n", role, g.term, s.position(), s.paused, lag, s.busy, len(s.conns))
}

// workTime returns how long a statement takes. An item whose name begins with ms and a number takes
// as many milliseconds.
func (s *server) workTime(item string) time.Duration {
	if digits, ok := strings.CutPrefix(item, "ms"); ok {
		if n, err := strconv.Atoi(digits); err == nil {
			return time.Duration(n) * time.Millisecond
		}
	}
	return s.work
}

func (x *session) runStatement(id, text, word, rest string) string {
	s, g := x.s, x.s.g
	access, arguments := word, rest
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		access, arguments = x.prepared[name], args
		if access == "" {
			return x.err("NOSTMT")
		}
	}
	if access != "READ" && access != "WRITE" && access != "COMMIT" {
		return x.err("BAD")
	}
	item, _, _ := strings.Cut(arguments, " ")
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.busy >= g.slots && s.waiting >= g.queue {
		return x.err("BUSY")
	}
	s.waiting++
	for s.busy >= g.slots && s.up {
		g.cond.Wait()
	}
	s.waiting--
	s.busy++
	defer func() { s.busy--; g.cond.Broadcast() }()
	wroteNothing := access == "COMMIT" && len(x.writes) == 0
	needsLead := access == "WRITE" || x.state == "T" && !x.readOnly && !wroteNothing
	if needsLead && (!x.leads() || x.state == "T" && x.term != g.term) {
		if x.state == "T" {
			x.state = "E"
		}
		if access == "COMMIT" {
			x.state = "I"
		}
		return x.err("READONLY")
	}
	g.runs = append(g.runs, execution{
		at: time.Now(), server: s.id, id: id, text: text, session: x.number,
		singleOrTx: x.state == "I" || !x.ran,
	})
	x.ran = true
	g.rec.line("run   server=%s session=%d state=%s id=%s text=%q", s.id, x.number, x.state, id, text)
	number := len(g.runs) - 1
	g.mu.Unlock()
	time.Sleep(s.workTime(item))
	sent := writeRows(x.conn, rowsOf(text))
	g.mu.Lock()
	g.runs[number].ended = time.Now()
	if !s.up || !sent {
		return ""
	}
	digest := fmt.Sprintf("DONE %s.%s.%d\r\n", id, s.id, len(g.runs))
	switch {
	case access == "READ":
		return "ROW x" + item + "\r\n" + digest
	case access == "WRITE" && x.state == "T":
		x.writes = append(x.writes, id)
		return digest
	case access == "WRITE":
		return x.commit([]string{id}, digest)
	}
	ids := append(x.writes, id)
	wrote := len(x.writes) > 0
	x.state, x.writes = "I", nil
	if !wrote {
		return digest
	}
	return x.commit(ids, digest)
}

// commit adds a commit to the log and waits for the synchronous replicas. The caller holds mu.
func (x *session) commit(ids []string, digest string) string {
	s, g := x.s, x.s.g
	if !x.leads() {
		return x.err("READONLY")
	}
	term := g.term
	number := uint64(len(s.log) + 1)
	s.log = append(s.log, entry{term: term, number: number, ids: ids, at: time.Now()})
	for g.sync > 0 {
		if g.primary != s || g.term != term || !s.up {
			return ""
		}
		received := 0
		for _, r := range g.servers {
			if r != s && r.up && uint64(len(r.log)) >= number {
				received++
			}
		}
		if received >= g.sync {
			break
		}
		g.cond.Wait()
	}
	return digest
}

// committed returns the identities in a server's log. The caller holds mu.
func (s *server) committed() map[string]bool {
	out := map[string]bool{}
	for _, e := range s.log {
		for _, id := range e.ids {
			out[id] = true
		}
	}
	return out
}

// lengths describes how many commits each server has. The caller holds mu.
func (g *group) lengths() string {
	var out []string
	for _, s := range g.servers {
		out = append(out, fmt.Sprintf("%s=%d", s.id, len(s.log)))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// Rows of a large answer, and how fast a link of 1000 Mbit/s carries them.
const (
	rowBytes   = 64 << 10
	rowSpacing = rowBytes * time.Second / 125_000_000
)

// rowsOf returns how many rows an item has: one whose name begins with rows and a number has as many
// besides the last one.
func rowsOf(text string) int {
	i := strings.Index(text, "READ rows")
	if i < 0 {
		return 0
	}
	n, err := strconv.Atoi(text[i+len("READ rows"):])
	if err != nil {
		return 0
	}
	return n
}

func writeRows(c net.Conn, n int) bool {
	row := []byte("ROW " + strings.Repeat("x", rowBytes-6) + "\r\n")
	began := time.Now()
	for i := range n {
		if _, err := c.Write(row); err != nil {
			return false
		}
		time.Sleep(time.Until(began.Add(time.Duration(i) * rowSpacing)))
	}
	return true
}
