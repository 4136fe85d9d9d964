package e2e

import (
	osexec "os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a program that refuses --help or --version, or answers them with a failure.
func TestProgramsAnswerHelpAndVersion(t *testing.T) {
	for _, program := range programs {
		for _, flag := range []string{"--help", "--version"} {
			output, err := osexec.Command(filepath.Join(binaries, program), flag).CombinedOutput()
			if err != nil {
				t.Errorf("%s %s: %v\n%s", program, flag, err, output)
			}
			if flag == "--version" && !strings.HasPrefix(string(output), program+" ") {
				t.Errorf("%s %s printed %q", program, flag, output)
			}
		}
	}
}
