// Package e2e tests a deployment of separate processes. The files deploy_*_test.go run
// control processes, proxies and stand-in databases on loopback. Each pair of processes is
// connected through a relay of its own, so that a test can cut a single link.
package e2e

import (
	"fmt"
	"os"
	osexec "os/exec"
	"path/filepath"
	"testing"
)

// programs are all programs of the repository.
var programs = []string{
	"jayloom-control", "jayloom-load", "jayloom-node", "jayloom-proxy", "jayloom-relay", "jayloom-standin", "jayloomctl",
}

// binaries is the folder of the built programs, set by Main.
var binaries string

// Main builds the programs, runs the tests and removes the programs.
func Main(m *testing.M) int {
	folder, err := os.MkdirTemp("", "jayloom-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	args := []string{"build", "-o", folder + string(filepath.Separator)}
	for _, program := range programs {
		args = append(args, "github.com/jayloom/jayloom/cmd/"+program)
	}
	build := osexec.Command("go", args...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaries = folder
	return m.Run()
}
