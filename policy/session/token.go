package session

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"

	"github.com/jayloom/jayloom/api/rescode"
)

const (
	// tokenVersion is the first byte of a token.
	tokenVersion = 1
	// maxTokenPositions bounds the number of positions in a token.
	maxTokenPositions = 256
	// maxTokenTextBytes bounds the text that Verify tries to decode.
	maxTokenTextBytes = 16 << 10
)

// Identity identifies a session across its connections.
type Identity [16]byte

// NewIdentity returns a random identity.
func NewIdentity() Identity {
	var id Identity
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// String returns the identity in hexadecimal.
func (id Identity) String() string {
	return hex.EncodeToString(id[:])
}

// ParseIdentity parses the hexadecimal form that String returns.
func ParseIdentity(text string) (Identity, bool) {
	var id Identity
	if len(text) != hex.EncodedLen(len(id)) {
		return id, false
	}
	_, err := hex.Decode(id[:], []byte(text))
	return id, err == nil
}

// Token is the state of a session that a caller carries from one connection to the next.
type Token struct {
	Identity  Identity
	Positions Positions
}

// Sign encodes the token as text and signs it for the team, so that no other team can
// use it.
func (t Token) Sign(key []byte, team string) string {
	payload := t.encode()
	return base64.RawURLEncoding.EncodeToString(append(payload, mac(key, team, payload)...))
}

func (t Token) encode() []byte {
	b := make([]byte, 0, 64+32*len(t.Positions))
	b = append(b, tokenVersion)
	b = append(b, t.Identity[:]...)
	b = binary.AppendUvarint(b, uint64(len(t.Positions)))
	for _, p := range t.Positions {
		b = binary.AppendUvarint(b, uint64(len(p.Group)))
		b = append(b, p.Group...)
		b = binary.AppendUvarint(b, p.Term)
		b = binary.AppendUvarint(b, p.LSN)
	}
	return b
}

// mac computes the authentication code of team and payload. It includes the length of
// the team's name, so that no other split into team and payload has the same code.
func mac(key []byte, team string, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	var length [binary.MaxVarintLen64]byte
	h.Write(length[:binary.PutUvarint(length[:], uint64(len(team)))])
	h.Write([]byte(team))
	h.Write(payload)
	return h.Sum(nil)
}

// Verify decodes a token and checks that it was signed for the team.
func Verify(key []byte, team, text string) (Token, *rescode.Error) {
	if len(text) > maxTokenTextBytes {
		return Token{}, invalidToken("the token is too long")
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < sha256.Size {
		return Token{}, invalidToken("the token does not have the format that jayloom.session reports")
	}
	payload, code := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if len(key) == 0 || !hmac.Equal(code, mac(key, team, payload)) {
		return Token{}, invalidToken("the token's signature is not valid for the team")
	}
	token, ok := decode(payload)
	if !ok {
		return Token{}, invalidToken("the token's payload is malformed")
	}
	return token, nil
}

// decode parses a payload. It accepts only the output of encode.
func decode(b []byte) (Token, bool) {
	var t Token
	if len(b) < 1+len(t.Identity) || b[0] != tokenVersion {
		return t, false
	}
	copy(t.Identity[:], b[1:])
	d := decoder{rest: b[1+len(t.Identity):]}
	count := d.number()
	if count > maxTokenPositions {
		return t, false
	}
	for range count {
		p := Position{Group: d.text(), Term: d.number(), LSN: d.number()}
		if d.failed || len(t.Positions) > 0 && t.Positions[len(t.Positions)-1].Group >= p.Group {
			return t, false
		}
		t.Positions = append(t.Positions, p)
	}
	return t, !d.failed && len(d.rest) == 0
}

type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.failed = true
		d.rest = nil
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) text() string {
	n := d.number()
	if d.failed || n > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}

func invalidToken(text string) *rescode.Error {
	return rescode.New(rescode.SessionTokenInvalid, "%s", text)
}
