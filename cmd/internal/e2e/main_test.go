package e2e

import (
	"os"
	"testing"

	"github.com/jayloom/jayloom/cmd/internal/e2e/deploy"
)

func TestMain(m *testing.M) {
	os.Exit(deploy.Main(m))
}
