package proxy

import "strings"

// The proxy does not parse SQL. It looks only at the first words of a statement, at
// whether it is a single statement, and for a few names that leave session state.

// skipSpaceAndComments strips leading white space and comments.
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

// commentEnd returns the length of the comment that sql starts with, or -1 if it does
// not end. Comments nest.
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

// firstWord returns the first word in upper case and the text after it.
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

// isSingleStatement reports whether sql has no semicolon except at its end. A semicolon
// in a literal counts too, which costs only a round trip.
func isSingleStatement(sql string) bool {
	at := strings.IndexByte(sql, ';')
	return at < 0 || strings.Trim(skipSpaceAndComments(sql[at:]), "; \t\r\n") == "" || skipSpaceAndComments(sql[at+1:]) == ""
}

// containsWord reports whether text, which must be in lower case, contains word as a
// whole word.
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

// canAppendPositionQuery reports whether a position query can be sent in the same flush
// after a write: sql must be one statement that commits and cannot start a COPY.
func canAppendPositionQuery(sql string) bool {
	word, rest := firstWord(sql)
	switch word {
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return isSingleStatement(sql)
	case "SELECT", "VALUES", "WITH":
		// These may write through a function, and cannot start a COPY or a transaction.
		return isSingleStatement(sql)
	case "COMMIT", "END":
		// AND CHAIN opens the next transaction, and a position query would take its snapshot.
		return isSingleStatement(sql) && !containsWord(strings.ToLower(rest), "chain")
	default:
		return false
	}
}

// mayCommit reports whether sql could commit a transaction.
func mayCommit(sql string) bool {
	lower := strings.ToLower(sql)
	for _, word := range []string{"commit", "end", "prepare", "call", "do"} {
		if containsWord(lower, word) {
			return true
		}
	}
	return false
}

// pinWords indicate session state that no command tag shows.
var pinWords = []string{"set_config", "currval", "lastval", "temp", "temporary"}

// pinsByText reports whether the text of a statement shows that it leaves or needs
// session state.
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

// pinsByFirstWord reports whether the command tag of a statement with these first words
// will pin the connection.
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

const (
	// tagDiscardAll is the command tag after which a connection has no session state.
	tagDiscardAll = "DISCARD ALL"
	// tagDeallocateAll is the command tag after which a connection has no prepared statements.
	tagDeallocateAll = "DEALLOCATE ALL"
)
