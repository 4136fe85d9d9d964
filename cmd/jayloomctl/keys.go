package main

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/control"
)

// A key consists of keyPrefix, an identifier, an underscore and a secret. Proxies refuse
// any statement that contains text of this form.
const (
	keyPrefix      = "jlk_"
	keyIDBytes     = 5
	keySecretBytes = 20
	// credentialSaltBytes is the length of the salt in a hashed credential.
	credentialSaltBytes = 16
)

var lowerBase32 = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// newKey generates a key and returns its identifier and its full text.
func newKey() (id, key string) {
	id = randomBase32(keyIDBytes)
	return id, keyPrefix + id + "_" + randomBase32(keySecretBytes)
}

// randomBase32 returns n random bytes in lower-case base32.
func randomBase32(n int) string {
	buffer := make([]byte, n)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(buffer)
	return lowerBase32.EncodeToString(buffer)
}

// deriveKeyRecord derives the SCRAM verifier that control stores in place of the key.
func deriveKeyRecord(team *controlpb.Team, id, key string) (*controlpb.Key, error) {
	client, err := scram.SHA256.NewClient(team.Name, key, "")
	if err != nil {
		return nil, errors.Wrap(err, "derive the verifier of the key")
	}
	factors := scram.KeyFactors{Salt: string(team.ScramSalt), Iters: int(team.ScramIterations)}
	credentials, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return nil, errors.Wrap(err, "derive the verifier of the key")
	}
	return &controlpb.Key{Id: id, StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}, nil
}

type keyGive struct {
	Args struct {
		Team string `positional-arg-name:"TEAM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute creates a key and prints it. The full key is stored nowhere.
func (c *keyGive) Execute([]string) error {
	team, err := findTeam(c.Args.Team)
	if err != nil {
		return err
	}
	id, key := newKey()
	record, err := deriveKeyRecord(team, id, key)
	if err != nil {
		return err
	}
	change := &controlpb.Command_PutKey{PutKey: &controlpb.PutKey{Team: team.Name, Key: record}}
	if _, err := send(&controlpb.Command{Change: change}); err != nil {
		return err
	}
	fmt.Println(key)
	return nil
}

func findTeam(name string) (*controlpb.Team, error) {
	var team *controlpb.Team
	err := withControl(func(ctx context.Context, client controlpb.ControlClient) error {
		reply, err := client.Show(ctx, &controlpb.ShowRequest{})
		if err != nil {
			return err
		}
		team = reply.State.Teams[name]
		return nil
	})
	if err != nil {
		return nil, err
	}
	if team == nil {
		return nil, errors.Newf("team %q does not exist", name)
	}
	return team, nil
}

type keyWithdraw struct {
	Args struct {
		Team string `positional-arg-name:"TEAM" required:"yes"`
		Key  string `positional-arg-name:"KEY-ID" description:"the 8 characters behind jlk_" required:"yes"`
	} `positional-args:"yes"`
}

// Execute withdraws a key, given as its identifier or in full.
func (c *keyWithdraw) Execute([]string) error {
	id := strings.TrimPrefix(c.Args.Key, keyPrefix)
	id, _, _ = strings.Cut(id, "_")
	withdraw := &controlpb.WithdrawKey{Team: c.Args.Team, KeyId: id}
	return propose(&controlpb.Command{Change: &controlpb.Command_WithdrawKey{WithdrawKey: withdraw}})
}

type hashCredential struct{}

// Execute prints the salted hash of the credential, as the settings files hold it.
func (c *hashCredential) Execute([]string) error {
	data, err := readStdin()
	if err != nil {
		return err
	}
	credential := strings.TrimSpace(string(data))
	if credential == "" {
		return errors.New("no credential on standard input")
	}
	salt := make([]byte, credentialSaltBytes)
	_, _ = rand.Read(salt)
	fmt.Println(control.HashCredential(salt, credential))
	return nil
}

func readStdin() ([]byte, error) {
	data, err := os.ReadFile("/dev/stdin")
	return data, errors.Wrap(err, "read standard input")
}
