package flagfile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Common
	Name string   `long:"name"`
	Size int      `long:"size" default:"1"`
	Urls []string `long:"url"`
	Fast bool     `long:"fast"`
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "flags.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a flag file that is ignored or overrides the command line.
func TestFileFillsFlagsAndCommandLineWins(t *testing.T) {
	path := writeFile(t, `{"name": "file", /* comment */ "size": 7, "url": ["a", "b"], "fast": true,}`)
	var o options
	rest, err := Parse(flags.NewParser(&o, flags.None), []string{"--config", path, "--name=line", "arg"})
	if err != nil {
		t.Fatal(err)
	}
	got := []any{o.Name, o.Size, o.Urls, o.Fast, rest}
	if diff := cmp.Diff([]any{"line", 7, []string{"a", "b"}, true, []string{"arg"}}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a misspelt or malformed field that is silently ignored.
func TestFileIsChecked(t *testing.T) {
	for _, text := range []string{`{"nmae": "x"}`, `{"size": "many"}`, `{"name": {"a": 1}}`, `{`} {
		var o options
		if _, err := Parse(flags.NewParser(&o, flags.None), []string{"--config=" + writeFile(t, text)}); err == nil {
			t.Errorf("%s is accepted", text)
		}
	}
}
