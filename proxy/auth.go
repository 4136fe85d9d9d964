package proxy

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/route"
	"github.com/jayloom/jayloom/proxy/view"
	"github.com/jayloom/jayloom/proxy/wire"
)

const scramMechanism = "SCRAM-SHA-256"

// checkCredentials checks the service and the team, and authenticates the caller's key.
func (h *handshake) checkCredentials(s *caller) error {
	snapshot := h.server.view.Current()
	if !snapshot.Routes.HasService(s.service) {
		return rescode.New(rescode.UnknownService, "service %q", s.service)
	}
	team, ok := snapshot.Teams[s.team]
	if !ok {
		return rescode.New(rescode.UnknownTeam, "")
	}
	if s.team == route.PublicTeam {
		return nil
	}
	var err error
	if h.inTLS || isLoopback(h.net) {
		s.keyID, err = h.authenticateCleartext(team)
	} else {
		s.keyID, err = h.authenticateSCRAM(team)
	}
	return err
}

func isLoopback(conn net.Conn) bool {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}

func (h *handshake) readPasswordMessage() ([]byte, error) {
	if _, err := h.out.Flush(); err != nil {
		return nil, err
	}
	frame, err := h.rd.Next()
	if err != nil {
		return nil, err
	}
	if frame.Type != 'p' {
		return nil, malformed("expected a password message")
	}
	return frame.Body(), nil
}

// authenticateCleartext checks a cleartext password. It returns the identifier of the
// key that matched.
func (h *handshake) authenticateCleartext(team *view.Team) (string, error) {
	h.out.Message(&pgproto3.AuthenticationCleartextPassword{})
	body, err := h.readPasswordMessage()
	if err != nil {
		return "", err
	}
	var message pgproto3.PasswordMessage
	if err := message.Decode(body); err != nil {
		return "", malformed("cannot decode the password message")
	}
	if id, ok := matchPassword(team, message.Password); ok {
		return id, nil
	}
	return "", rescode.New(rescode.WrongKey, "")
}

// matchPassword derives the stored key of a password and compares it with those of
// all active keys. The time it takes does not depend on which one matches.
func matchPassword(team *view.Team, password string) (string, bool) {
	if _, ok := wire.KeyID(password); !ok || team.Iterations < 1 {
		return "", false
	}
	salted, err := pbkdf2.Key(sha256.New, password, team.Salt, team.Iterations, sha256.Size)
	if err != nil {
		return "", false
	}
	mac := hmac.New(sha256.New, salted)
	mac.Write([]byte("Client Key"))
	stored := sha256.Sum256(mac.Sum(nil))
	matched := -1
	for i, key := range team.Keys {
		equal := subtle.ConstantTimeCompare(stored[:], key.StoredKey)
		matched = subtle.ConstantTimeSelect(equal, i, matched)
	}
	if matched < 0 {
		return "", false
	}
	return team.Keys[matched].ID, true
}

// authenticateSCRAM runs SCRAM-SHA-256. It returns the identifier of the key that matched.
func (h *handshake) authenticateSCRAM(team *view.Team) (string, error) {
	h.out.Message(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	body, err := h.readPasswordMessage()
	if err != nil {
		return "", err
	}
	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(body); err != nil || initial.AuthMechanism != scramMechanism {
		return "", initialResponseError(body)
	}
	exchange := newScramExchange(team)
	challenge, err := exchange.challenge(string(initial.Data))
	if err != nil {
		return "", rescode.New(rescode.WrongKey, "")
	}
	h.out.Message(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	body, err = h.readPasswordMessage()
	if err != nil {
		return "", err
	}
	var response pgproto3.SASLResponse
	if err := response.Decode(body); err != nil {
		return "", malformed("cannot decode the SASL response")
	}
	id, final, ok := exchange.verify(string(response.Data))
	if !ok {
		return "", rescode.New(rescode.WrongKey, "")
	}
	h.out.Message(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return id, nil
}

// initialResponseError returns the error for an invalid initial SASL response. A
// cleartext key gets a code of its own, because it has just crossed the network
// unencrypted.
func initialResponseError(body []byte) *rescode.Error {
	if len(body) > 0 && body[len(body)-1] == 0 {
		if _, ok := wire.KeyID(string(body[:len(body)-1])); ok {
			return rescode.New(rescode.CleartextRefused, "")
		}
	}
	return rescode.New(rescode.UnsupportedProtocol, "authentication other than %s", scramMechanism)
}

// scramExchange runs one conversation per active key over the same messages, because
// the caller does not say which of the team's keys it uses.
type scramExchange struct {
	keys          []view.Key
	conversations []*scram.ServerConversation
}

func newScramExchange(team *view.Team) *scramExchange {
	nonce := newNonce()
	exchange := &scramExchange{keys: team.Keys}
	if len(team.Keys) == 0 {
		// A placeholder key makes authentication fail only at the last step, as it
		// does with a wrong key.
		exchange.keys = []view.Key{{StoredKey: make([]byte, sha256.Size), ServerKey: make([]byte, sha256.Size)}}
	}
	for _, key := range exchange.keys {
		credentials := scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(team.Salt), Iters: team.Iterations},
			StoredKey:  key.StoredKey,
			ServerKey:  key.ServerKey,
		}
		// NewServer fails only if the hash function is missing.
		server, _ := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
			return credentials, nil
		})
		server.WithNonceGenerator(func() string { return nonce })
		exchange.conversations = append(exchange.conversations, server.NewConversation())
	}
	return exchange
}

var errSCRAMFailed = errors.New("SCRAM failed")

// challenge returns the server's first message, which is the same in all conversations.
func (e *scramExchange) challenge(message string) (string, error) {
	challenge := ""
	for _, conversation := range e.conversations {
		var err error
		if challenge, err = conversation.Step(message); err != nil {
			return "", errSCRAMFailed
		}
	}
	return challenge, nil
}

// verify finishes all conversations even after a match, so that the time it takes does
// not reveal which key matched.
func (e *scramExchange) verify(message string) (id, final string, ok bool) {
	for i, conversation := range e.conversations {
		answer, err := conversation.Step(message)
		if err == nil && conversation.Valid() {
			id, final, ok = e.keys[i].ID, answer, true
		}
	}
	return id, final, ok
}

func newNonce() string {
	return rand.Text()
}
