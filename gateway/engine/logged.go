package engine

// maxLoggedBytes bounds what is logged of a caller's text, which may be as long as a message.
const maxLoggedBytes = 64

// LoggedID returns what is logged of the identity of a statement.
func LoggedID(id string) string {
	return logged(id)
}

// logged returns what is logged of a text that a caller may have chosen.
func logged(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}
