package settings

import (
	"encoding/hex"
	"net"
	"slices"
	"strings"

	"github.com/jayloom/jayloom/base/tlsconf"
)

// Role selects the section whose required fields CheckRole checks.
type Role string

// Roles of the processes that read settings.
const (
	RoleControl Role = "control"
	RoleProxy   Role = "proxy"
)

// checker collects problems.
type checker struct {
	problems []Problem
}

func (c *checker) add(field, message string) {
	c.problems = append(c.problems, Problem{Field: field, Message: message})
}

func (c *checker) require(field, value string) {
	if value == "" {
		c.add(field, "is missing")
	}
}

func (c *checker) checkAddress(field, value string) {
	if value == "" {
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.add(field, "must be an address of the form host:port")
	}
}

func (c *checker) checkFiles(field string, f tlsconf.Files, needCA bool) {
	if f.Empty() {
		return
	}
	if f.Cert == "" || f.Key == "" {
		c.add(field, "must name both cert_file and key_file")
	}
	if needCA && f.CA == "" {
		c.add(field, "must name ca_file, because both sides verify certificates")
	}
}

func (c *checker) checkUpstreamTLS(field string, t UpstreamTLS) {
	if (t.Cert == "") != (t.Key == "") {
		c.add(field, "must name both cert_file and key_file")
	}
	switch t.SSLMode {
	case "", SSLDisable:
		if t.Cert != "" || t.CA != "" {
			c.add(field, "names files that sslmode does not use")
		}
	case SSLRequire:
	case SSLVerifyCA, SSLVerifyFull:
		if t.CA == "" {
			c.add(field, "must name ca_file, because sslmode verifies the upstream's certificate")
		}
	default:
		c.add(field+".sslmode", `must be "disable", "require", "verify-ca" or "verify-full"`)
	}
}

func (c *checker) requirePositive(field string, value uint32) {
	if value == 0 {
		c.add(field, "must be above 0")
	}
}

func (c *checker) checkCredentialHash(field, value string) {
	if value == "" {
		return
	}
	salt, hash, ok := strings.Cut(value, ":")
	_, saltErr := hex.DecodeString(salt)
	decoded, hashErr := hex.DecodeString(hash)
	if !ok || saltErr != nil || hashErr != nil || len(decoded) != 32 {
		c.add(field, "must have the form salt:hash that jayloomctl hash-credential prints")
	}
}

// problems returns the problems that are independent of the role of the process.
func (s *Settings) problems() []Problem {
	var c checker
	if s.Log.Format != "text" && s.Log.Format != "json" {
		c.add("log.format", `must be "text" or "json"`)
	}
	for _, voter := range s.Cluster.Voters {
		c.checkAddress("cluster.voters", voter)
	}
	sorted := slices.Sorted(slices.Values(s.Cluster.Voters))
	if len(slices.Compact(sorted)) != len(s.Cluster.Voters) {
		c.add("cluster.voters", "names an address twice")
	}
	c.checkFiles("tls.identity", s.TLS.Identity, true)
	s.Control.check(&c)
	s.Proxy.check(&c)
	return c.problems
}

func (s *Control) check(c *checker) {
	c.checkAddress("control.listen_grpc", s.ListenGRPC)
	c.checkAddress("control.advertise_grpc", s.AdvertiseGRPC)
	c.checkAddress("control.listen_http", s.ListenHTTP)
	c.checkCredentialHash("control.operator_credential_hash", s.OperatorCredentialHash)
	c.checkCredentialHash("control.announcement_credential_hash", s.AnnouncementCredentialHash)
	c.checkUpstreamTLS("control.upstream.tls", s.Upstream.TLS)
	c.requirePositive("control.probe_interval_ms", s.ProbeIntervalMs)
	c.requirePositive("control.probe_timeout_ms", s.ProbeTimeoutMs)
	if s.SnapshotEntries == 0 {
		c.add("control.snapshot_entries", "must be above 0")
	}
	if s.SuspectAfterMs < s.ProbeIntervalMs+s.ProbeTimeoutMs {
		c.add("control.suspect_after_ms", "must cover probe_interval_ms and probe_timeout_ms")
	}
}

func (s *Proxy) check(c *checker) {
	c.checkAddress("proxy.listen", s.Listen)
	c.checkAddress("proxy.listen_peering", s.ListenPeering)
	c.checkAddress("proxy.advertise_peering", s.AdvertisePeering)
	c.checkAddress("proxy.listen_http", s.ListenHTTP)
	c.checkFiles("proxy.caller_tls", s.CallerTLS, false)
	c.checkUpstreamTLS("proxy.upstream.tls", s.Upstream.TLS)
	c.requirePositive("proxy.max_clients", s.MaxClients)
	c.requirePositive("proxy.max_unauthenticated", s.MaxUnauthenticated)
	c.requirePositive("proxy.authentication_timeout_ms", s.AuthenticationTimeoutMs)
	c.requirePositive("proxy.max_message_bytes", s.MaxMessageBytes)
	c.requirePositive("proxy.max_prepared_bytes", s.MaxPreparedBytes)
	c.requirePositive("proxy.default_deadline_ms", s.DefaultDeadlineMs)
	c.requirePositive("proxy.queue_per_team", s.QueuePerTeam)
	c.requirePositive("proxy.drain_timeout_ms", s.DrainTimeoutMs)
	c.requirePositive("proxy.caller_write_timeout_ms", s.CallerWriteTimeoutMs)
	if s.RequireTLS && s.CallerTLS.Empty() {
		c.add("proxy.require_tls", "needs proxy.caller_tls")
	}
	if s.MaxPinnedPercent > 100 {
		c.add("proxy.max_pinned_percent", "must be at most 100")
	}
	if s.RetryPercent > 100 {
		c.add("proxy.retry_percent", "must be at most 100")
	}
}

// CheckRole checks that all fields that the role requires are set.
func (s *Settings) CheckRole(role Role) error {
	var c checker
	c.require("vm.name", s.VM.Name)
	if len(s.Cluster.Voters) == 0 {
		c.add("cluster.voters", "is missing")
	}
	switch role {
	case RoleControl:
		s.Control.checkRequired(&c, s)
	case RoleProxy:
		s.Proxy.checkRequired(&c, s)
	}
	if len(c.problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(c.problems))
	for _, p := range c.problems {
		lines = append(lines, "field \""+p.Field+"\" "+p.Message)
	}
	return badSettings(errorString(strings.Join(lines, "\n")))
}

func (s *Control) checkRequired(c *checker, all *Settings) {
	c.require("control.listen_grpc", s.ListenGRPC)
	c.require("control.advertise_grpc", s.AdvertiseGRPC)
	c.require("control.listen_http", s.ListenHTTP)
	c.require("control.data_folder", s.DataFolder)
	c.require("control.operator_credential_hash", s.OperatorCredentialHash)
	c.require("control.announcement_credential_hash", s.AnnouncementCredentialHash)
	c.require("control.upstream.user", s.Upstream.User)
	all.checkPlaintext(c, "control.listen_grpc", s.ListenGRPC)
}

func (s *Proxy) checkRequired(c *checker, all *Settings) {
	c.require("proxy.listen", s.Listen)
	c.require("proxy.listen_peering", s.ListenPeering)
	c.require("proxy.advertise_peering", s.AdvertisePeering)
	c.require("proxy.upstream.user", s.Upstream.User)
	all.checkPlaintext(c, "proxy.listen_peering", s.ListenPeering)
}

// checkPlaintext reports a listener outside loopback that would accept connections without TLS.
func (s *Settings) checkPlaintext(c *checker, field, address string) {
	if !s.TLS.Identity.Empty() || s.TLS.AllowPlain {
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		c.add(field, "is outside loopback and needs tls.identity or tls.allow_plain")
	}
}

// errorString is an error that consists of its text.
type errorString string

func (e errorString) Error() string { return string(e) }
