// Package sqlerr defines the errors that the stand-in reports to clients.
package sqlerr

import (
	"errors"
	"fmt"
)

// SQLSTATE codes used by the stand-in.
const (
	SyntaxError                  = "42601"
	UndefinedTable               = "42P01"
	UndefinedColumn              = "42703"
	UndefinedFunction            = "42883"
	UndefinedObject              = "42704"
	DuplicateTable               = "42P07"
	DuplicateStatement           = "42P05"
	DatatypeMismatch             = "42804"
	InvalidStatementName         = "26000"
	InvalidCursorName            = "34000"
	UniqueViolation              = "23505"
	NotNullViolation             = "23502"
	FailedTransaction            = "25P02"
	ActiveTransaction            = "25001"
	ReadOnlyTransaction          = "25006"
	StatementTooComplex          = "54001"
	InvalidTextRepresentation    = "22P02"
	InvalidParameterValue        = "22023"
	DivisionByZero               = "22012"
	BadCopyFormat                = "22P04"
	DeadlockDetected             = "40P01"
	QueryCanceled                = "57014"
	AdminShutdown                = "57P01"
	TooManyConnections           = "53300"
	InvalidAuthorization         = "28000"
	InvalidPassword              = "28P01"
	ProtocolViolation            = "08P01"
	FeatureNotSupported          = "0A000"
	ObjectNotInPrerequisiteState = "55000"
	UndefinedFile                = "58P01"
	Internal                     = "XX000"
)

// Error is an error with its SQLSTATE.
type Error struct {
	Code    string
	Message string
}

// New returns an Error with a formatted message.
func New(code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error returns the message and the SQLSTATE.
func (e *Error) Error() string {
	return e.Message + " (SQLSTATE " + e.Code + ")"
}

// From returns the Error that err wraps, or an internal error with the message of
// err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%s", err.Error())
}
