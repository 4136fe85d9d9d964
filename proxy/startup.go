package proxy

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/proxy/wire"
)

const (
	// maxStartupBytes bounds a message of a caller that is not authenticated yet.
	maxStartupBytes = 10 << 10
	// Request codes that stand in place of a protocol version.
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
	// protocolMajor and protocolMinor are the supported protocol version.
	protocolMajor = 3
	protocolMinor = 0
	// maxEncryptionRequests bounds the encryption requests of one connection.
	maxEncryptionRequests = 2
)

// startupPacket is the content of a caller's first message.
type startupPacket struct {
	code       uint32
	parameters []parameter
	// processID and secret are the key of a cancel request.
	processID uint32
	secret    uint32
}

// parameter is a startup parameter or a run-time setting.
type parameter struct {
	name, value string
}

// parseStartup decodes the body of a startup, encryption or cancel request.
func parseStartup(body []byte) (startupPacket, *rescode.Error) {
	if len(body) < 4 {
		return startupPacket{}, malformed("the startup message is too short")
	}
	packet := startupPacket{code: binary.BigEndian.Uint32(body)}
	rest := body[4:]
	switch {
	case packet.code == codeSSL || packet.code == codeGSS:
		return packet, nil
	case packet.code == codeCancel:
		if len(rest) != 8 {
			return packet, malformed("the length of the cancel request is not 16")
		}
		packet.processID = binary.BigEndian.Uint32(rest)
		packet.secret = binary.BigEndian.Uint32(rest[4:])
		return packet, nil
	case packet.code>>16 != protocolMajor:
		return packet, rescode.New(rescode.UnsupportedProtocol, "version %d.%d", packet.code>>16, packet.code&0xffff)
	}
	var err *rescode.Error
	packet.parameters, err = parseParameters(rest)
	return packet, err
}

func parseParameters(rest []byte) ([]parameter, *rescode.Error) {
	var parameters []parameter
	for {
		name, after, ok := cutString(rest)
		if !ok {
			return nil, malformed("the startup message is not terminated")
		}
		if name == "" {
			if len(after) > 0 {
				return nil, malformed("data follows the terminator of the startup message")
			}
			return parameters, nil
		}
		value, after, ok := cutString(after)
		if !ok {
			return nil, malformed("a startup parameter has no value")
		}
		parameters = append(parameters, parameter{name, value})
		rest = after
	}
}

func cutString(b []byte) (string, []byte, bool) {
	text, after, ok := bytes.Cut(b, []byte{0})
	return string(text), after, ok
}

func malformed(text string) *rescode.Error {
	return rescode.New(rescode.MalformedPacket, "%s", text)
}

// splitOptions parses the startup parameter "options" as PostgreSQL does: words are
// separated by whitespace, and a backslash escapes the next character.
func splitOptions(options string) ([]parameter, *rescode.Error) {
	var parameters []parameter
	words := optionWords(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			return nil, rescode.New(rescode.UnsupportedProtocol, "startup options other than -c name=value")
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, rescode.New(rescode.UnsupportedProtocol, "a startup option without a value")
		}
		parameters = append(parameters, parameter{strings.ReplaceAll(name, "-", "_"), value})
	}
	return parameters, nil
}

func optionWords(options string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(options); i++ {
		c := options[i]
		if c == ' ' || c == '\t' || c == '\n' {
			if inWord {
				words = append(words, word.String())
				word.Reset()
				inWord = false
			}
			continue
		}
		if c == '\\' && i+1 < len(options) {
			i++
			c = options[i]
		}
		word.WriteByte(c)
		inWord = true
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// handshake is a caller connection that is not authenticated yet.
type handshake struct {
	server *Server
	net    net.Conn
	rd     *wire.Reader
	out    *wire.Writer
	inTLS  bool
}

func (h *handshake) setConn(conn net.Conn) {
	h.net = conn
	h.rd = wire.NewReader(conn, maxStartupBytes)
	h.out = wire.NewWriter(conn)
}

// authenticate runs the startup phase of a connection. It returns nil if the
// connection was closed.
func (s *Server) authenticate(conn net.Conn) *caller {
	h := &handshake{server: s}
	h.setConn(conn)
	timeout := time.Duration(s.settings.AuthenticationTimeoutMs) * time.Millisecond
	_ = conn.SetDeadline(time.Now().Add(timeout))
	s.unauthenticated.add(conn, time.Now())
	session, err := h.run()
	if !s.unauthenticated.remove(conn) && session == nil {
		h.refuse(rescode.New(rescode.TooManyUnauthenticated, ""))
		return nil
	}
	if err != nil {
		h.handleError(err)
		return nil
	}
	if session != nil {
		_ = conn.SetDeadline(time.Time{})
	}
	return session
}

// handleError answers a refusal or protocol error; other errors mean that the caller
// has disconnected.
func (h *handshake) handleError(err error) {
	var refused *rescode.Error
	var tooLarge *wire.TooLargeError
	var netErr net.Error
	switch {
	case errors.As(err, &refused):
		h.refuse(refused)
	case errors.As(err, &tooLarge):
		h.refuse(rescode.New(rescode.PacketTooLarge, "%s", tooLarge.Error()))
	case errors.Is(err, wire.ErrMalformed):
		h.refuse(malformed(err.Error()))
	case errors.As(err, &netErr) && netErr.Timeout():
		h.refuse(rescode.New(rescode.AuthenticationTimeout, ""))
	default:
		_ = h.net.Close()
	}
}

// refuseTimeout bounds writing a refusal to a caller that does not read.
const refuseTimeout = time.Second

func (h *handshake) refuse(err *rescode.Error) {
	countResult(err.Code)
	_ = h.net.SetDeadline(time.Now().Add(refuseTimeout))
	h.out.Message(errorResponse(err, severityFatal))
	_, _ = h.out.Flush()
	_ = h.net.Close()
}

func (h *handshake) run() (*caller, error) {
	for range maxEncryptionRequests + 1 {
		body, err := h.rd.NextStartup()
		if err != nil {
			return nil, err
		}
		packet, refused := parseStartup(body)
		if refused != nil {
			return nil, refused
		}
		switch packet.code {
		case codeSSL:
			if err := h.negotiateTLS(); err != nil {
				return nil, err
			}
		case codeGSS:
			if _, err := h.net.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case codeCancel:
			h.server.handleCancelRequest(packet.processID, packet.secret)
			return nil, h.net.Close()
		default:
			return h.start(packet)
		}
	}
	return nil, malformed("too many encryption requests")
}

func (h *handshake) negotiateTLS() error {
	// Unencrypted bytes after the request would otherwise be read as if TLS had
	// protected them.
	if h.rd.Buffered() > 0 {
		return malformed("data follows the request for TLS")
	}
	if h.server.opts.TLS == nil || h.inTLS {
		_, err := h.net.Write([]byte{'N'})
		return err
	}
	if _, err := h.net.Write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(h.net, h.server.opts.TLS)
	if err := secured.Handshake(); err != nil {
		return err
	}
	h.setConn(secured)
	h.inTLS = true
	return nil
}

// start checks a startup message, authenticates the caller and completes the startup.
func (h *handshake) start(packet startupPacket) (*caller, error) {
	if h.server.settings.RequireTLS && !h.inTLS {
		return nil, rescode.New(rescode.TLSRequired, "")
	}
	if packet.code&0xffff != protocolMinor {
		h.out.Message(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: protocolMinor})
	}
	s := &caller{server: h.server, tx: txIdle}
	if refused := s.applyStartup(packet.parameters); refused != nil {
		return nil, refused
	}
	if refused := h.server.checkServingLease(); refused != nil {
		return nil, refused
	}
	if err := h.checkCredentials(s); err != nil {
		return nil, err
	}
	if h.server.registry.count() >= int(h.server.settings.MaxClients) {
		return nil, rescode.New(rescode.TooManyConnections, "")
	}
	return h.completeStartup(s)
}

// completeStartup registers the session and sends the messages that end the startup
// phase.
func (h *handshake) completeStartup(s *caller) (*caller, error) {
	s.net, s.rd = h.net, h.rd
	writeTimeout := time.Duration(h.server.settings.CallerWriteTimeoutMs) * time.Millisecond
	s.out = wire.NewWriter(timeoutWriter{conn: h.net, timeout: writeTimeout})
	s.rd.SetLimit(int(h.server.settings.MaxMessageBytes))
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if refused := h.server.registry.add(s, randomSecret); refused != nil {
		return nil, refused
	}
	// The key may have been withdrawn between the check and the registration.
	snapshot := h.server.view.Current()
	if !s.hasActiveKey(snapshot) {
		h.server.registry.remove(s)
		return nil, rescode.New(rescode.KeyWithdrawn, "team %q", s.team)
	}
	if refused := s.verifyStartupToken(); refused != nil {
		h.server.registry.remove(s)
		return nil, refused
	}
	h.out.Message(&pgproto3.AuthenticationOk{})
	for _, p := range s.reportedParameters() {
		h.out.Message(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	secret := binary.BigEndian.AppendUint32(nil, s.cancelSecret)
	h.out.Message(&pgproto3.BackendKeyData{ProcessID: snapshot.ProxyNumber, SecretKey: secret})
	h.out.Message(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	if _, err := h.out.Flush(); err != nil {
		h.server.registry.remove(s)
		return nil, err
	}
	return s, nil
}

// timeoutWriter fails writes to a caller that does not read its answer, which would
// otherwise hold a scarce upstream connection.
type timeoutWriter struct {
	conn    net.Conn
	timeout time.Duration
}

// Write implements io.Writer.
func (g timeoutWriter) Write(b []byte) (int, error) {
	if err := g.conn.SetWriteDeadline(time.Now().Add(g.timeout)); err != nil {
		return 0, err
	}
	return g.conn.Write(b)
}

func randomSecret() uint32 {
	var b [4]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

// defaultParameters are reported until an upstream connection has reported its own.
var defaultParameters = map[string]string{
	"server_version":              "16.0",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"IntervalStyle":               "postgres",
	"TimeZone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
}

// reportedParameters returns the parameters that are reported to the caller at startup.
func (s *caller) reportedParameters() []parameter {
	upstreamParameters := s.server.pools.serviceParameters(s.service)
	var reported []parameter
	for name, fallback := range defaultParameters {
		value, ok := upstreamParameters[name]
		if !ok {
			value = fallback
		}
		for _, p := range s.parameters {
			if strings.EqualFold(p.name, name) {
				value = p.value
			}
		}
		reported = append(reported, parameter{name, value})
	}
	return append(reported, parameter{settingSession, s.sessionToken()})
}
