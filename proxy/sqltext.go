package proxy

import "strings"

// What the proxy reads of a statement's text is limited to its first words, whether
// it is one statement, and a few names that leave state on a connection.

// skipSpaceAndComments returns sql from its first character that is neither space nor comment.
func skipSpaceAndComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n\f")
		switch {
		case strings.HasPrefix(sql, "--"):
			end := strings.IndexByte(sql, '\n')
			if end < 0 {
				return ""
			}
			sql = sql[end+1:]
		case strings.HasPrefix(sql, "/*"):
			end := commentEnd(sql)
			if end < 0 {
				return ""
			}
			sql = sql[end:]
		default:
			return sql
		}
	}
}

// commentEnd returns the length of the comment that sql starts with; comments nest.
func commentEnd(sql string) int {
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return i + 1
		}
	}
	return -1
}

// firstWord returns the first word in upper case, and what follows it.
func firstWord(sql string) (word, rest string) {
	sql = skipSpaceAndComments(sql)
	end := 0
	for end < len(sql) && isWordByte(sql[end]) {
		end++
	}
	return strings.ToUpper(sql[:end]), sql[end:]
}

func isWordByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_'
}

// isSingleStatement reports whether sql has no semicolon but at its end. A semicolon in a
// literal counts too, which only costs a round trip.
func isSingleStatement(sql string) bool {
	at := strings.IndexByte(sql, ';')
	return at < 0 || strings.Trim(skipSpaceAndComments(sql[at:]), "; \t\r\n") == "" || skipSpaceAndComments(sql[at+1:]) == ""
}

// containsWord reports whether text, in lower case, contains word between other
// characters than those of words.
func containsWord(text, word string) bool {
	for from := 0; ; {
		at := strings.Index(text[from:], word)
		if at < 0 {
			return false
		}
		at += from
		end := at + len(word)
		before := at == 0 || !isWordByte(text[at-1])
		after := end == len(text) || !isWordByte(text[end])
		if before && after {
			return true
		}
		from = at + 1
	}
}

// canAppendPositionQuery reports whether the position of a write can be asked for in the
// same flush: one statement that cannot start a COPY and that commits.
func canAppendPositionQuery(sql string) bool {
	word, rest := firstWord(sql)
	switch word {
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return isSingleStatement(sql)
	case "SELECT", "VALUES", "WITH":
		// A function may write. These cannot start a COPY or a transaction either.
		return isSingleStatement(sql)
	case "COMMIT", "END":
		// AND CHAIN opens the next transaction, whose snapshot is not ours to take.
		return isSingleStatement(sql) && !containsWord(strings.ToLower(rest), "chain")
	default:
		return false
	}
}

// mayCommit reports whether a statement could end a transaction with its effects.
func mayCommit(sql string) bool {
	lower := strings.ToLower(sql)
	for _, word := range []string{"commit", "end", "prepare", "call", "do"} {
		if containsWord(lower, word) {
			return true
		}
	}
	return false
}

// pinWords leave state on a connection without a command tag that shows it.
var pinWords = []string{"set_config", "currval", "lastval", "temp", "temporary"}

// pinsByText reports whether a statement leaves or needs session state by its text.
func pinsByText(sql string) bool {
	lower := strings.ToLower(sql)
	if strings.Contains(lower, "pg_advisory_lock") || strings.Contains(lower, "pg_try_advisory_lock") {
		return true
	}
	for _, word := range pinWords {
		if strings.Contains(lower, word) && containsWord(lower, word) {
			return true
		}
	}
	return false
}

// pinsByFirstWord reports whether a statement's first word will lead to a tag that pins.
func pinsByFirstWord(sql string) bool {
	word, rest := firstWord(sql)
	if word == "SET" {
		next, _ := firstWord(rest)
		return next != "LOCAL" && next != "TRANSACTION" && next != "CONSTRAINTS"
	}
	return word == "LISTEN" || word == "PREPARE" || word == "LOAD"
}

// pinsByTag reports whether a command tag shows state that outlives the transaction.
func pinsByTag(tag string) bool {
	switch tag {
	case "SET", "RESET", "LISTEN", "PREPARE", "DECLARE CURSOR", "LOAD", "CREATE TABLE",
		"CREATE TABLE AS", "CREATE SEQUENCE", "CREATE VIEW":
		return true
	default:
		return false
	}
}

// tagDiscardAll is the command tag after which a connection carries no session state.
const tagDiscardAll = "DISCARD ALL"
