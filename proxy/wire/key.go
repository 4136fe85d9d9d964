package wire

import "bytes"

// A key consists of jlk_, an identifier of 8 characters, _, and a secret of 32
// characters.
const (
	keyPrefix   = "jlk_"
	keyIDBytes  = 8
	secretBytes = 32
	keyBytes    = len(keyPrefix) + keyIDBytes + 1 + secretBytes
)

var keyPrefixBytes = []byte(keyPrefix)

// ContainsKey reports whether b contains text in the form of a key.
func ContainsKey(b []byte) bool {
	for {
		at := bytes.Index(b, keyPrefixBytes)
		if at < 0 || len(b)-at < keyBytes {
			return false
		}
		if isKey(b[at : at+keyBytes]) {
			return true
		}
		b = b[at+1:]
	}
}

func isKey(b []byte) bool {
	id := b[len(keyPrefix) : len(keyPrefix)+keyIDBytes]
	secret := b[len(keyPrefix)+keyIDBytes+1:]
	return b[len(keyPrefix)+keyIDBytes] == '_' && isBase32(id) && isBase32(secret)
}

func isBase32(b []byte) bool {
	for _, c := range b {
		letter := c >= 'a' && c <= 'z'
		digit := c >= '2' && c <= '7'
		if !letter && !digit {
			return false
		}
	}
	return true
}

// KeyID returns the identifier part of a key, and false for other text.
func KeyID(key string) (string, bool) {
	if len(key) != keyBytes || key[:len(keyPrefix)] != keyPrefix || !isKey([]byte(key)) {
		return "", false
	}
	return key[len(keyPrefix) : len(keyPrefix)+keyIDBytes], true
}

// CopyScanner searches a COPY stream for keys, across message boundaries.
type CopyScanner struct {
	tail []byte
}

// ContainsKey reports whether data completes or contains a key.
func (s *CopyScanner) ContainsKey(data []byte) bool {
	head := data[:min(len(data), keyBytes-1)]
	if ContainsKey(append(s.tail, head...)) || ContainsKey(data) {
		return true
	}
	s.keepTail(data)
	return false
}

func (s *CopyScanner) keepTail(data []byte) {
	s.tail = append(s.tail, data[max(0, len(data)-keyBytes+1):]...)
	if excess := len(s.tail) - (keyBytes - 1); excess > 0 {
		s.tail = append(s.tail[:0], s.tail[excess:]...)
	}
}
