package rescode

import "fmt"

// Error is an error that carries a result code.
type Error struct {
	Code Code
	// Detail is sent to the caller. It must not contain keys or statement text.
	Detail string
}

// New returns an Error with a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the name of the code and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, uint32(e.Code), e.Detail)
}
