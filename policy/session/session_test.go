package session

import (
	"encoding/base64"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

func testToken() Token {
	return Token{Identity: Identity{1, 2}, Positions: Positions{{"a", 1, 5}, {"b", 2, 1 << 40}}}
}

// TestTokenVerifiesOnlyAsSigned guards against accepting a token that was modified or was
// signed for another team or with another cluster's key.
func TestTokenVerifiesOnlyAsSigned(t *testing.T) {
	text := testToken().Sign(testKey, "driver")
	token, err := Verify(testKey, "driver", text)
	if err != nil || token.Identity != testToken().Identity || len(token.Positions) != 2 || token.Positions[1] != testToken().Positions[1] {
		t.Fatalf("got %+v, %v", token, err)
	}
	if _, err := Verify(testKey, "sorter", text); err == nil {
		t.Error("verified for another team")
	}
	if _, err := Verify([]byte("another"), "driver", text); err == nil {
		t.Error("verified with another key")
	}
	if _, err := Verify(nil, "driver", text); err == nil {
		t.Error("verified without a key")
	}
	raw, _ := base64.RawURLEncoding.DecodeString(text)
	for i := range raw {
		raw[i] ^= 1
		if _, err := Verify(testKey, "driver", base64.RawURLEncoding.EncodeToString(raw)); err == nil {
			t.Errorf("verified with byte %d changed", i)
		}
		raw[i] ^= 1
	}
}

// FuzzToken guards against a decoder that panics on or accepts input that encode does not
// produce.
func FuzzToken(f *testing.F) {
	f.Add(testToken().encode())
	f.Add([]byte{tokenVersion})
	f.Fuzz(func(t *testing.T, payload []byte) {
		token, ok := decode(payload)
		if !ok {
			return
		}
		text := token.Sign(testKey, "driver")
		again, err := Verify(testKey, "driver", text)
		if err != nil || len(again.Positions) != len(token.Positions) {
			t.Errorf("%+v does not survive a round trip: %v", token, err)
		}
	})
}

// TestHasReachedAndIsLost guards against treating a replica as up to date that lacks a
// position after failovers that discarded a part of the log or reused a timeline number.
func TestHasReachedAndIsLost(t *testing.T) {
	start := func(term, lsn uint64, timeline uint32) *controlpb.TermStart {
		return &controlpb.TermStart{Term: term, StartLsn: lsn, Timeline: timeline}
	}
	plain := []*controlpb.TermStart{start(1, 0, 1), start(2, 100, 2)}
	shorter := []*controlpb.TermStart{start(1, 0, 1), start(2, 100, 2), start(3, 50, 3)}
	repeatedTimeline := []*controlpb.TermStart{start(1, 0, 1), start(2, 100, 2), start(3, 80, 2)}
	cases := []struct {
		name     string
		history  []*controlpb.TermStart
		minimum  Position
		lsn      uint64
		timeline uint32
		reached  bool
		lost     bool
	}{
		{"reached", plain, Position{"g", 2, 150}, 150, 2, true, false},
		{"behind", plain, Position{"g", 2, 150}, 149, 2, false, false},
		{"older term, kept", plain, Position{"g", 1, 100}, 100, 2, true, false},
		{"older term, lost", plain, Position{"g", 1, 101}, 500, 2, false, true},
		{"replica on the old timeline, beyond the fork", plain, Position{"g", 2, 150}, 500, 1, false, false},
		{"replica on the old timeline, before the fork", plain, Position{"g", 1, 90}, 95, 1, true, false},
		{"newer term than known", plain, Position{"g", 3, 10}, 500, 2, false, false},
		{"a later term starts lower", shorter, Position{"g", 1, 60}, 500, 3, false, true},
		{"replica of the first term, second fork lower", shorter, Position{"g", 1, 50}, 60, 1, true, false},
		{"replica of the second term", shorter, Position{"g", 3, 55}, 70, 2, false, false},
		{"timeline of two terms", repeatedTimeline, Position{"g", 3, 90}, 200, 2, false, false},
		{"no history", nil, Position{"g", 1, 1}, 5, 1, false, false},
	}
	for _, c := range cases {
		if got := HasReached(c.history, c.minimum, c.lsn, c.timeline); got != c.reached {
			t.Errorf("%s: reached %v", c.name, got)
		}
		if got := IsLost(c.history, c.minimum); got != c.lost {
			t.Errorf("%s: lost %v", c.name, got)
		}
	}
}

// TestAdvance guards against a position that moves back.
func TestAdvance(t *testing.T) {
	var ps Positions
	for _, p := range []Position{{"b", 1, 5}, {"a", 1, 1}, {"b", 1, 3}, {"b", 2, 1}, {"b", 1, 9}} {
		ps, _ = ps.Advance(p)
	}
	if len(ps) != 2 || ps[0] != (Position{"a", 1, 1}) || ps[1] != (Position{"b", 2, 1}) {
		t.Errorf("got %+v", ps)
	}
	if rest := ps.Without("a"); len(rest) != 1 || len(ps) != 2 {
		t.Errorf("got %+v of %+v", rest, ps)
	}
}
