package experiment

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/jayloom/jayloom/cmd/internal/load"
)

// Guards against processes that share a port, and against a replica that follows the
// primary of another group or bypasses that primary's relay.
func TestPlan(t *testing.T) {
	for name, profile := range load.Profiles() {
		p := Plan{Profile: profile, Folder: t.TempDir(), BasePort: 20000, TotalRate: 100, BurstSeconds: 1,
			RelayControl: true, RelayUpstreams: true, RelayProxies: true}
		if err := p.Write(); err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(filepath.Join(p.Folder, "processes"))
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		want := 2 * (voterCount + profile.Proxies + p.upstreamCount())
		if len(lines) != want {
			t.Errorf("%s: %d processes, want %d", name, len(lines), want)
		}
		checkPortsDiffer(t, string(data)+readSettings(t, p.Folder))
		checkReplicas(t, &p, lines)
	}
}

// readSettings returns the concatenated text of all settings files.
func readSettings(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.jsonc"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	var text strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(data)
	}
	return text.String()
}

func checkPortsDiffer(t *testing.T, text string) {
	t.Helper()
	used := map[string]bool{}
	for _, match := range regexp.MustCompile(`(?:--listen|--http|"listen\w*":) "?([\d.:]+)`).FindAllStringSubmatch(text, -1) {
		if used[match[1]] {
			t.Errorf("%s is used twice", match[1])
		}
		used[match[1]] = true
	}
}

func checkReplicas(t *testing.T, p *Plan, lines []string) {
	t.Helper()
	replicas := 0
	for _, line := range lines {
		_, primary, ok := strings.Cut(line, " --follow ")
		if !ok {
			continue
		}
		replicas++
		group := regexp.MustCompile(`--group \S+`).FindString(line)
		found := false
		for _, other := range lines {
			found = found || strings.Contains(other, "--advertise "+primary+" ") && strings.Contains(other, group+" ") && !strings.Contains(other, "--follow")
		}
		if !found {
			t.Errorf("%s is not the announced address of a primary of %s", primary, group)
		}
	}
	if want := p.Profile.Groups * (p.Profile.ServersPerGroup - 1); replicas != want {
		t.Errorf("%d replicas, want %d", replicas, want)
	}
}

// Guards against ports above 65535 and port ranges that overlap.
func TestPlanCheck(t *testing.T) {
	good := Plan{Profile: load.Profiles()["small"], BasePort: 20000, TotalRate: 1, BurstSeconds: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Plan){
		"port":    func(p *Plan) { p.BasePort = 65400 },
		"proxies": func(p *Plan) { p.Profile.Proxies = 20 },
		"limit":   func(p *Plan) { p.TotalRate = 0 },
	} {
		bad := good
		change(&bad)
		if bad.Check() == nil {
			t.Errorf("a plan with a bad %s is accepted", name)
		}
	}
}
