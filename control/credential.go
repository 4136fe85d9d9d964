package control

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"google.golang.org/grpc/metadata"
)

// authorizationKey is the gRPC metadata key and the HTTP header of a credential.
const authorizationKey = "authorization"

const bearerPrefix = "Bearer "

// HashCredential returns the salted hash of a credential in the format of the
// settings, salt:hash. Credentials are long and random, so one round of SHA-256 is
// enough.
func HashCredential(salt []byte, credential string) string {
	return hex.EncodeToString(salt) + ":" + hex.EncodeToString(saltedHash(salt, credential))
}

func saltedHash(salt []byte, credential string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(credential))
	return h.Sum(nil)
}

// credentialMatches compares a credential with a stored hash in constant time. An
// empty stored hash matches nothing.
func credentialMatches(stored, credential string) bool {
	saltText, hashText, ok := strings.Cut(stored, ":")
	if !ok {
		return false
	}
	salt, err := hex.DecodeString(saltText)
	if err != nil {
		return false
	}
	expected, err := hex.DecodeString(hashText)
	if err != nil || len(expected) == 0 {
		return false
	}
	return subtle.ConstantTimeCompare(expected, saltedHash(salt, credential)) == 1
}

// bearerCredential returns the bearer credential of an incoming gRPC call, or "".
func bearerCredential(ctx context.Context) string {
	md, ok := metadata.FromIncomingContext(ctx)
	if !ok {
		return ""
	}
	for _, value := range md.Get(authorizationKey) {
		if credential, ok := strings.CutPrefix(value, bearerPrefix); ok {
			return credential
		}
	}
	return ""
}
