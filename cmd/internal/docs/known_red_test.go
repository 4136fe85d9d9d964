package docs

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a known red test that becomes worse unnoticed, as CI does not decide on it.
func TestKnownRedBoundsAreCompared(t *testing.T) {
	const entry = "test: some/package TestCourses\n  at most: 2 lines of: seed [0-9]+ failed\n"
	for name, c := range map[string]struct {
		output string
		passes bool
		says   string
	}{
		"as known": {"seed 1 failed\nseed 20 failed\nseed x failed\n", true, ""},
		"worse":    {strings.Repeat("seed 1 failed\n", 3), false, "has become worse: 3 lines"},
		"better":   {"seed 1 failed\n", true, "has become better: 1 lines"},
		"mended":   {"ok\n", true, "has become better: 0 lines"},
	} {
		entries, output := writeFile(t, "entries", entry), writeFile(t, "output", c.output)
		said, err := exec.Command("bash", "../../../scripts/known-red.sh", entries, output).CombinedOutput()
		if (err == nil) != c.passes || !strings.Contains(string(said), c.says) {
			t.Errorf("%s: %v, %q", name, err, said)
		}
	}
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
