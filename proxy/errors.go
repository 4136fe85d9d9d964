package proxy

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
)

// Severities of error responses.
const (
	severityError = "ERROR"
	// severityFatal tells the caller that its connection is closed.
	severityFatal = "FATAL"
)

// errorResponse returns the ErrorResponse for a result code.
func errorResponse(err *rescode.Error, severity string) *pgproto3.ErrorResponse {
	info, ok := rescode.Lookup(err.Code)
	if !ok {
		info, _ = rescode.Lookup(rescode.ProxyInternal)
	}
	message := strings.TrimSuffix(info.Meaning, ".")
	if err.Detail != "" {
		message += ": " + err.Detail
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                info.SQLState,
		Message:             message,
		Detail:              fmt.Sprintf("jayloom code %d (%s)", info.Code, info.Execution),
	}
}

// closesConnection reports whether a code ends the caller's connection. After these
// codes the caller and the proxy could disagree on the state of a transaction or
// session.
func closesConnection(code rescode.Code) bool {
	switch code {
	case rescode.PrimaryReplaced, rescode.WriteWithoutLease, rescode.TransactionAborted,
		rescode.KeyWithdrawn, rescode.ProxyDraining, rescode.ProxyInternal:
		return true
	default:
		return false
	}
}
