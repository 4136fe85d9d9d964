package abuse

import (
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "abuse")
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	for _, name := range []string{"jayloom-node"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, name), "github.com/jayloom/jayloom/cmd/"+name)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			log.Print(err)
			return 1
		}
	}
	return m.Run()
}
