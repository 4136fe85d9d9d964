package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/rescode"
)

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against an overlay that removes fields of the base that it does not state.
func TestOverlayStatesOnlyWhatDiffers(t *testing.T) {
	base := writeFile(t, "base.jsonc", `{
		// Comments and trailing commas are allowed.
		"cluster": {"name": "litbrot", "voters": ["127.0.0.1:1", "127.0.0.1:2"]},
		"proxy": {"max_clients": 5, "queue_per_team": 7},
	}`)
	site := writeFile(t, "site.jsonc", `{
		"cluster": {"voters": ["127.0.0.1:3"]},
		"proxy": {"queue_per_team": null},
		"vm": {"name": "vm1"}
	}`)
	got, err := Load(base, site)
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Cluster = Cluster{Name: "litbrot", Voters: []string{"127.0.0.1:3"}}
	want.Proxy.MaxClients = 5
	want.VM.Name = "vm1"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("merged settings differ (-want +got):\n%s", diff)
	}
}

// Guards against an invalid setting that is ignored, or reported without its location.
func TestErrorsNameFileLineAndField(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"unknown field", "{\n\"proxy\": {\n\"max_client\": 1}}", []string{"x.jsonc:3", `"proxy.max_client"`, "unknown"}},
		{"wrong type", "{\"proxy\":\n {\"max_clients\": \"many\"}}", []string{"x.jsonc:2", `"proxy.max_clients"`, "uint32"}},
		{"negative", "{\"proxy\":\n {\"max_clients\": -1}}", []string{"x.jsonc:2", `"proxy.max_clients"`}},
		{"fraction", "{\"proxy\":\n {\"max_clients\": 1.5}}", []string{"x.jsonc:2", `"proxy.max_clients"`}},
		{"null", "{\"vm\":\n {\"name\": null}}", []string{"x.jsonc:2", `"vm.name"`}},
		{"object for array", "{\"cluster\": {\n\"voters\": {}}}", []string{"x.jsonc:2", `"cluster.voters"`, "an array"}},
		{"twice", "{\"vm\": {\"name\": \"a\",\n\"name\": \"b\"}}", []string{"x.jsonc:2", `"name"`, "twice"}},
		{"contradiction", "{\"proxy\":\n\n {\"require_tls\": true}}", []string{"x.jsonc:3", `"proxy.require_tls"`, "caller_tls"}},
		{"address", "{\"proxy\":\n {\"listen\": \"7432\"}}", []string{"x.jsonc:2", `"proxy.listen"`, "host:port"}},
		{"probe", "{\"control\":\n {\"suspect_after_ms\": 500}}", []string{"x.jsonc:2", "probe_timeout_ms"}},
		{"unchecked certificate", "{\"proxy\": {\"upstream\":\n {\"tls\": {\"sslmode\": \"verify-full\"}}}}",
			[]string{"x.jsonc:2", `"proxy.upstream.tls"`, "ca_file"}},
		{"unused certificate", "{\"control\": {\"upstream\":\n {\"tls\": {\"ca_file\": \"ca.pem\"}}}}",
			[]string{"x.jsonc:2", `"control.upstream.tls"`, "sslmode"}},
		{"sslmode", "{\"proxy\": {\"upstream\":\n {\"tls\": {\"sslmode\": \"prefer\"}}}}", []string{"x.jsonc:2", "sslmode", "verify-ca"}},
		{"syntax", "{\n\"vm\": }", []string{"x.jsonc", "line 2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("x.jsonc", []byte(tt.text))
			var refused *rescode.Error
			if !errors.As(err, &refused) || refused.Code != rescode.BadSettings {
				t.Fatalf("Parse returned %v, want code %s", err, rescode.BadSettings)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}

// Guards against a control process that accepts plaintext connections outside loopback.
func TestPlaintextListenerOutsideLoopbackIsRefused(t *testing.T) {
	text := `{"vm": {"name": "a"}, "cluster": {"voters": ["10.0.0.1:1"]}, "control": {
		"listen_grpc": "10.0.0.1:1", "advertise_grpc": "10.0.0.1:1", "listen_http": "10.0.0.1:2",
		"data_folder": "d", "operator_credential_hash": "00:` + strings.Repeat("00", 32) + `",
		"announcement_credential_hash": "00:` + strings.Repeat("00", 32) + `", "upstream": {"user": "u"}}}`
	s, err := Parse("x.jsonc", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.CheckRole(RoleControl); err == nil || !strings.Contains(err.Error(), "tls.identity") {
		t.Errorf("CheckRole returned %v, want an error that names tls.identity", err)
	}
	s.TLS.AllowPlain = true
	if err := s.CheckRole(RoleControl); err != nil {
		t.Errorf("CheckRole with allow_plain: %v", err)
	}
}

// Guards against input that makes the parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vm": {"name": "a"}}`))
	f.Add([]byte(`{"cluster": {"voters": ["x", 1, null, {}]}}`))
	f.Add([]byte(`[/* c */ {"a": [}]`))
	f.Add([]byte(`{"proxy": {"max_clients": 99999999999999}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("Parse returned settings %v and error %v", s, err)
		}
	})
}
