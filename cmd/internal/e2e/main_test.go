package e2e

import (
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	os.Exit(Main(m))
}
