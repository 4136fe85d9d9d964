package wire

import (
	"crypto/rand"
	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// AuthMethod is the authentication method that clients must use.
type AuthMethod string

// Supported authentication methods.
const (
	Cleartext AuthMethod = "cleartext"
	Scram     AuthMethod = "scram"
	Trust     AuthMethod = "trust"
)

// Account holds the credentials of the only user that the server accepts.
type Account struct {
	User, Password string
	Auth           AuthMethod
}

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	scramSaltBytes  = 16
)

// authenticate runs the exchange of the configured method. A failed login is an
// error with SQLSTATE 28P01; other errors come from the connection or the protocol.
func (a Account) authenticate(backend *pgproto3.Backend, user string) error {
	if a.Auth == Trust {
		return nil
	}
	ok := false
	var err error
	if a.Auth == Scram {
		ok, err = a.checkScram(backend)
	} else {
		ok, err = a.checkCleartext(backend)
	}
	if err != nil {
		return err
	}
	if !ok || user != a.User {
		return sqlerr.New(sqlerr.InvalidPassword, "password authentication failed for user %q", user)
	}
	return nil
}

func (a Account) checkCleartext(backend *pgproto3.Backend) (bool, error) {
	if err := sendAuthRequest(backend, &pgproto3.AuthenticationCleartextPassword{}, pgproto3.AuthTypeCleartextPassword); err != nil {
		return false, err
	}
	m, err := backend.Receive()
	if err != nil {
		return false, err
	}
	password, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return false, unexpectedMessageError(m)
	}
	return subtle.ConstantTimeCompare([]byte(password.Password), []byte(a.Password)) == 1, nil
}

// sendAuthRequest sends an authentication request and sets the type that the
// backend needs to decode the response.
func sendAuthRequest(backend *pgproto3.Backend, m pgproto3.BackendMessage, authType uint32) error {
	backend.Send(m)
	if err := backend.Flush(); err != nil {
		return err
	}
	return backend.SetAuthType(authType)
}

func unexpectedMessageError(m pgproto3.FrontendMessage) error {
	return sqlerr.New(sqlerr.ProtocolViolation, "unexpected message %T", m)
}

func (a Account) checkScram(backend *pgproto3.Backend) (bool, error) {
	conversation, err := a.newScramConversation()
	if err != nil {
		return false, err
	}
	offer := &pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}
	if err := sendAuthRequest(backend, offer, pgproto3.AuthTypeSASL); err != nil {
		return false, err
	}
	m, err := backend.Receive()
	if err != nil {
		return false, err
	}
	initial, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok {
		return false, unexpectedMessageError(m)
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return false, nil
	}
	next := &pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}
	if err := sendAuthRequest(backend, next, pgproto3.AuthTypeSASLContinue); err != nil {
		return false, err
	}
	return finishScram(backend, conversation)
}

func finishScram(backend *pgproto3.Backend, conversation *scram.ServerConversation) (bool, error) {
	m, err := backend.Receive()
	if err != nil {
		return false, err
	}
	response, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return false, unexpectedMessageError(m)
	}
	final, err := conversation.Step(string(response.Data))
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return true, nil
}

func (a Account) newScramConversation() (*scram.ServerConversation, error) {
	client, err := scram.SHA256.NewClient(a.User, a.Password, "")
	if err != nil {
		return nil, err
	}
	salt := make([]byte, scramSaltBytes)
	if _, err := rand.Read(salt); err != nil {
		return nil, err
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return nil, err
	}
	// PostgreSQL ignores the user name in the SCRAM exchange and uses the one from
	// the startup message.
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return stored, nil
	})
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}
