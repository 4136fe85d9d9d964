// Package sql parses the subset of SQL that the stand-in understands.
package sql

import (
	"strings"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted // a quoted identifier
	tokenNumber
	tokenString
	tokenParam
	tokenSymbol
)

type token struct {
	kind       tokenKind
	text       string // words are in lower case, strings are unescaped
	start, end int    // byte offsets in the source
}

// lex splits source into tokens; comments are left out.
func lex(source string) ([]token, error) {
	l := lexer{source: source}
	var tokens []token
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		if t.kind == tokenEnd {
			return tokens, nil
		}
	}
}

type lexer struct {
	source string
	at     int
}

func (l *lexer) next() (token, error) {
	if err := l.skipBlanks(); err != nil {
		return token{}, err
	}
	if l.at >= len(l.source) {
		return token{kind: tokenEnd, start: l.at, end: l.at}, nil
	}
	c := l.source[l.at]
	switch {
	case c == '\'':
		return l.quoted('\'', tokenString, false)
	case c == '"':
		return l.quoted('"', tokenQuoted, false)
	case (c == 'E' || c == 'e') && strings.HasPrefix(l.source[l.at+1:], "'"):
		l.at++
		return l.quoted('\'', tokenString, true)
	case isWordStart(c):
		return l.word(), nil
	case isDigit(c), c == '.' && l.at+1 < len(l.source) && isDigit(l.source[l.at+1]):
		return l.run(tokenNumber, func(c byte) bool { return isDigit(c) || c == '.' }), nil
	case c == '$' && l.at+1 < len(l.source) && isDigit(l.source[l.at+1]):
		l.at++
		return l.run(tokenParam, isDigit), nil
	}
	return l.symbol(), nil
}

func (l *lexer) skipBlanks() error {
	for l.at < len(l.source) {
		rest := l.source[l.at:]
		switch {
		case strings.ContainsRune(" \t\r\n\f", rune(rest[0])):
			l.at++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				end = len(rest)
			}
			l.at += end
		case strings.HasPrefix(rest, "/*"):
			if err := l.skipComment(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// skipComment skips a block comment; block comments nest in PostgreSQL.
func (l *lexer) skipComment() error {
	depth := 0
	for l.at < len(l.source) {
		rest := l.source[l.at:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
			if depth == 0 {
				return nil
			}
		default:
			l.at++
		}
	}
	return sqlerr.New(sqlerr.SyntaxError, "unterminated /* comment")
}

func (l *lexer) quoted(quote byte, kind tokenKind, escapes bool) (token, error) {
	start := l.at
	var b strings.Builder
	for l.at++; l.at < len(l.source); l.at++ {
		c := l.source[l.at]
		switch {
		case c == quote && l.at+1 < len(l.source) && l.source[l.at+1] == quote:
			b.WriteByte(quote)
			l.at++
		case c == quote:
			l.at++
			return token{kind: kind, text: b.String(), start: start, end: l.at}, nil
		case c == '\\' && escapes && l.at+1 < len(l.source):
			l.at++
			b.WriteByte(unescape(l.source[l.at]))
		default:
			b.WriteByte(c)
		}
	}
	return token{}, sqlerr.New(sqlerr.SyntaxError, "unterminated quoted text")
}

func unescape(c byte) byte {
	switch c {
	case 'n':
		return '\n'
	case 't':
		return '\t'
	case 'r':
		return '\r'
	}
	return c
}

func (l *lexer) word() token {
	t := l.run(tokenWord, func(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' })
	t.text = strings.ToLower(t.text)
	return t
}

func (l *lexer) run(kind tokenKind, in func(byte) bool) token {
	start := l.at
	for l.at < len(l.source) && in(l.source[l.at]) {
		l.at++
	}
	return token{kind: kind, text: l.source[start:l.at], start: start, end: l.at}
}

var longSymbols = []string{"::", "<>", "!=", "<=", ">=", "||"}

func (l *lexer) symbol() token {
	start := l.at
	l.at++
	for _, s := range longSymbols {
		if strings.HasPrefix(l.source[start:], s) {
			l.at = start + len(s)
		}
	}
	return token{kind: tokenSymbol, text: l.source[start:l.at], start: start, end: l.at}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
