// Package rescode defines the numbered result codes of jayloom.
//
// This package is the only definition of the codes on the wire, in errors, in metrics
// and in docs/RESULT-CODES.md. Callers and drivers can decide from the code alone
// whether to resend a request: Execution states whether the request ran.
package rescode

// Code identifies the result of a request or command.
type Code uint32

// Execution states whether a request was executed.
type Execution uint8

const (
	// NotRun means that no upstream executed the request.
	NotRun Execution = iota
	// Ran means that an upstream executed the request and reported its result.
	Ran
	// MayHaveRun means that the request was sent and its result is unknown.
	MayHaveRun
)

// String returns the text used in the documentation and in error details.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// Info describes a code.
type Info struct {
	Code Code
	// Name is the metric label and the stable identifier in logs.
	Name string
	// SQLState is the SQLSTATE sent to drivers; empty for codes that never reach a caller.
	SQLState string
	// Execution applies to both requests and commands.
	Execution Execution
	// Retryable states whether the same request may succeed when sent again.
	Retryable bool
	// Meaning is one sentence for the documentation.
	Meaning string
}

// OK means that a command was applied.
const OK Code = 0

// Codes of authentication and protocol.
const (
	UnknownTeam Code = 1001 + iota
	WrongKey
	KeyWithdrawn
	CleartextRefused
	AuthenticationTimeout
	TooManyUnauthenticated
	MalformedPacket
	PacketTooLarge
	UnsupportedProtocol
	TLSRequired
	KeyInStatement
)

// Codes of routing.
const (
	UnknownService Code = 2001 + iota
	UnknownRoute
	RouteNotAllowed
	SlotRequired
	UnknownSlot
	NoUpstream
	RouteServiceMismatch
	BadTag
	KeyRequired
)

// Codes of limits.
const (
	RateExceeded Code = 3001 + iota
	QueueTimeout
	QueueFull
	TooManyConnections
	UpstreamConnectFailed
	PinLimit
	StatementLimit
	SessionMemoryFull
)

// Codes of execution.
const (
	AnswerLost Code = 4001 + iota
	PrimaryReplaced
	UpstreamLost
	TransactionAborted
	RequestIdentityReused
	RequestIdentityUnsupported
	ReplicaWaitTimeout
	WriteWithoutLease
	StatementFailed
	StatementTimeout
	TransactionFailed
	UnknownStatement
)

// Codes of sessions.
const (
	SessionTokenInvalid Code = 5001 + iota
	SessionPositionLost
)

// Codes of the state of the proxy.
const (
	ProxyDetached Code = 6001 + iota
	ProxyDraining
	GroupFenced
	ProxyInternal
)

// Codes of settings and processes.
const (
	BadSettings Code = 7001 + iota
	DataFolderDamaged
	AddressInUse
)

// Codes of control.
const (
	RevisionConflict Code = 8001 + iota
	UnknownObject
	InvalidCommand
	NotLeader
	OperatorCredentialWrong
	AnnouncementCredentialWrong
	TermMismatch
	MembershipChangePending
	ControlUnavailable
	AlreadyExists
)

var table = []Info{
	{OK, "ok", "", Ran, false, "The command was applied."},

	{UnknownTeam, "unknown_team", "28000", NotRun, false, "No team has the name given as user."},
	{WrongKey, "wrong_key", "28P01", NotRun, false, "The password is not a key of the team."},
	{KeyWithdrawn, "key_withdrawn", "28000", NotRun, false, "The key was withdrawn while the caller was connected."},
	{CleartextRefused, "cleartext_refused", "28000", NotRun, false, "A cleartext password was offered outside TLS and outside loopback."},
	{AuthenticationTimeout, "authentication_timeout", "08004", NotRun, true, "The caller did not authenticate in time."},
	{TooManyUnauthenticated, "too_many_unauthenticated", "53300", NotRun, true, "Too many connections are waiting to authenticate."},
	{MalformedPacket, "malformed_packet", "08P01", NotRun, false, "The bytes received are no message of the PostgreSQL protocol."},
	{PacketTooLarge, "packet_too_large", "54000", NotRun, false, "The announced length of a message is above the limit."},
	{UnsupportedProtocol, "unsupported_protocol", "08P01", NotRun, false, "The protocol version or message is not supported."},
	{TLSRequired, "tls_required", "28000", NotRun, false, "The settings require TLS and the caller did not ask for it."},
	{KeyInStatement, "key_in_statement", "42501", NotRun, false, "The request contains text in the form of a key and was not sent."},

	{UnknownService, "unknown_service", "3D000", NotRun, false, "No service has the name given as database."},
	{UnknownRoute, "unknown_route", "42704", NotRun, false, "The request names a route that does not exist."},
	{RouteNotAllowed, "route_not_allowed", "42501", NotRun, false, "The team may not use the route."},
	{SlotRequired, "slot_required", "22023", NotRun, false, "The service has several groups and the request names no slot."},
	{UnknownSlot, "unknown_slot", "22023", NotRun, false, "The service has no slot of this number."},
	{NoUpstream, "no_upstream", "08001", NotRun, true, "The group has no upstream that can serve the request."},
	{RouteServiceMismatch, "route_service_mismatch", "42501", NotRun, false, "The route belongs to another service than the connection."},
	{BadTag, "bad_tag", "22023", NotRun, false, "The request's tag or a jayloom setting cannot be read."},
	{KeyRequired, "key_required", "28000", NotRun, false, "A caller without a key asked for a route that is not open."},

	{RateExceeded, "rate_exceeded", "53400", NotRun, true, "The team is above its rate and burst."},
	{QueueTimeout, "queue_timeout", "57014", NotRun, true, "No connection became free within the request's deadline."},
	{QueueFull, "queue_full", "53300", NotRun, true, "The queue of the team is full."},
	{TooManyConnections, "too_many_connections", "53300", NotRun, true, "The proxy has its limit of client connections."},
	{UpstreamConnectFailed, "upstream_connect_failed", "08001", NotRun, true, "No connection to the upstream could be opened."},
	{PinLimit, "pin_limit", "53300", NotRun, true, "Too many callers hold a connection for session state."},
	{StatementLimit, "statement_limit", "53400", NotRun, false, "The session's prepared statements and values would be above its limit in bytes."},
	{SessionMemoryFull, "session_memory_full", "53200", NotRun, true, "The node's memory for prepared statements and values of sessions is used up."},

	{AnswerLost, "answer_lost", "08007", MayHaveRun, false, "The connection to the upstream ended before the answer was complete."},
	{PrimaryReplaced, "primary_replaced", "08007", MayHaveRun, false, "The primary was replaced while the request ran."},
	{UpstreamLost, "upstream_lost", "08006", NotRun, true, "The upstream was lost before the request was sent."},
	{TransactionAborted, "transaction_aborted", "40001", NotRun, true, "The transaction lost its upstream before it was committed, and has no effect."},
	{RequestIdentityReused, "request_identity_reused", "22023", NotRun, false, "The request identity was used before with another statement."},
	{RequestIdentityUnsupported, "request_identity_unsupported", "0A000", NotRun, false, "A request identity is supported for one simple statement outside a transaction only."},
	{ReplicaWaitTimeout, "replica_wait_timeout", "08007", MayHaveRun, false, "The write was committed on the primary and no replica confirmed it in time."},
	{WriteWithoutLease, "write_without_lease", "08007", MayHaveRun, false, "The proxy held no valid primary lease when the answer arrived."},
	{StatementFailed, "statement_failed", "XX001", Ran, false, "The upstream ran the statement and reported that it failed."},
	{StatementTimeout, "statement_timeout", "57014", MayHaveRun, false, "No answer came within the time limit of the statement."},
	{TransactionFailed, "transaction_failed", "25P02", NotRun, false, "The transaction has failed; only its end is accepted."},
	{UnknownStatement, "unknown_statement", "26000", NotRun, false, "No prepared statement of the session has this name."},

	{SessionTokenInvalid, "session_token_invalid", "28000", NotRun, false, "The session token does not verify for the team."},
	{SessionPositionLost, "session_position_lost", "40001", NotRun, false, "A failover lost writes that the session had seen."},

	{ProxyDetached, "proxy_detached", "57P03", NotRun, true, "The proxy holds no valid attendance lease."},
	{ProxyDraining, "proxy_draining", "57P01", NotRun, true, "The proxy is shutting down."},
	{GroupFenced, "group_fenced", "57P03", NotRun, true, "The group is between two primaries."},
	{ProxyInternal, "proxy_internal", "XX000", MayHaveRun, false, "The proxy met an internal error."},

	{BadSettings, "bad_settings", "", NotRun, false, "A settings file cannot be read, has an unknown field, a wrong type or a contradiction."},
	{DataFolderDamaged, "data_folder_damaged", "", NotRun, false, "The data folder holds a damaged record in front of valid ones."},
	{AddressInUse, "address_in_use", "", NotRun, false, "A listening address of the settings cannot be used."},

	{RevisionConflict, "revision_conflict", "", NotRun, true, "The configuration has another revision than the command expects."},
	{UnknownObject, "unknown_object", "", NotRun, false, "The command names a team, key, service, route, group or upstream that does not exist."},
	{InvalidCommand, "invalid_command", "", NotRun, false, "The command contradicts itself or the state."},
	{NotLeader, "not_leader", "", NotRun, true, "The control VM does not lead."},
	{OperatorCredentialWrong, "operator_credential_wrong", "", NotRun, false, "The operator credential is missing or wrong."},
	{AnnouncementCredentialWrong, "announcement_credential_wrong", "", NotRun, false, "The announcement credential is missing or wrong."},
	{TermMismatch, "term_mismatch", "", NotRun, true, "The command names another term of the group than the current one."},
	{MembershipChangePending, "membership_change_pending", "", NotRun, true, "Another membership change is not committed yet."},
	{ControlUnavailable, "control_unavailable", "", MayHaveRun, true, "The command was not confirmed; send it again under the same request identity."},
	{AlreadyExists, "already_exists", "", NotRun, false, "An object of this name exists with other content."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()

// All returns the descriptions of all codes, in ascending order.
func All() []Info {
	return append([]Info(nil), table...)
}

// Lookup returns the description of a code.
func Lookup(c Code) (Info, bool) {
	info, ok := byCode[c]
	return info, ok
}

// String returns the name of the code, or "unknown_code".
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return "unknown_code"
}
