package settings

import "github.com/jayloom/jayloom/base/tlsconf"

// Settings are the settings of all processes. A process uses the section of its role
// and the shared ones.
type Settings struct {
	VM      VM      `json:"vm"`
	Cluster Cluster `json:"cluster"`
	TLS     TLS     `json:"tls"`
	Log     Log     `json:"log"`
	Control Control `json:"control"`
	Proxy   Proxy   `json:"proxy"`
}

// VM identifies the VM that a process runs on.
type VM struct {
	Name string `json:"name"`
	// Place is the name of the data centre.
	Place string `json:"place"`
}

// Cluster holds the settings that all processes of a fleet share.
type Cluster struct {
	Name string `json:"name"`
	// Voters are the gRPC addresses (host:port) of the control VMs.
	Voters []string `json:"voters"`
}

// TLS holds the settings of connections between the system's processes.
type TLS struct {
	// Identity is the certificate presented to other processes, and the CA that verifies
	// theirs.
	Identity tlsconf.Files `json:"identity"`
	// AllowPlain permits connections without TLS outside loopback.
	AllowPlain bool `json:"allow_plain"`
}

// Log holds the format and level of the log.
type Log struct {
	// Format is "text" or "json".
	Format string `json:"format"`
	Level  string `json:"level"`
}

// UpstreamAccount is the system's own account on upstreams.
type UpstreamAccount struct {
	User     string `json:"user"`
	Password string `json:"password"`
	// Database is the database on the upstream; empty means the one named after the
	// service.
	Database string      `json:"database"`
	TLS      UpstreamTLS `json:"tls"`
}

// SSLMode selects the protection of upstream connections, with the values and
// meanings of libpq's sslmode.
type SSLMode string

// Values of SSLMode. SSLRequire verifies no certificate unless a CA file is named.
const (
	SSLDisable    SSLMode = "disable"
	SSLRequire    SSLMode = "require"
	SSLVerifyCA   SSLMode = "verify-ca"
	SSLVerifyFull SSLMode = "verify-full"
)

// UpstreamTLS holds the TLS settings of upstream connections. The zero value means
// plaintext.
type UpstreamTLS struct {
	SSLMode SSLMode `json:"sslmode"`
	// Cert and Key are the PEM files of the account's certificate, CA that of the
	// certificates that verify upstreams.
	Cert string `json:"cert_file"`
	Key  string `json:"key_file"`
	CA   string `json:"ca_file"`
}

// Control holds the settings of jayloom-control.
type Control struct {
	// ListenGRPC and AdvertiseGRPC are host:port; AdvertiseGRPC is one of cluster.voters.
	ListenGRPC    string `json:"listen_grpc"`
	AdvertiseGRPC string `json:"advertise_grpc"`
	// ListenHTTP serves announcements and metrics.
	ListenHTTP string `json:"listen_http"`
	// DataFolder holds all files of the process.
	DataFolder string `json:"data_folder"`
	// OperatorCredentialHash and AnnouncementCredentialHash have the form salt:hash,
	// both in hexadecimal, as "jayloomctl hash-credential" prints.
	OperatorCredentialHash     string          `json:"operator_credential_hash"`
	AnnouncementCredentialHash string          `json:"announcement_credential_hash"`
	Upstream                   UpstreamAccount `json:"upstream"`
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64 `json:"snapshot_entries"`
	// ReservedConnections is the number of connections of each upstream that are not
	// lent to proxies.
	ReservedConnections uint32 `json:"reserved_connections"`
	// ProbeIntervalMs, ProbeTimeoutMs and SuspectAfterMs control the probes of
	// upstreams. A primary that has not answered for SuspectAfterMs is suspected to have failed.
	ProbeIntervalMs uint32 `json:"probe_interval_ms"`
	ProbeTimeoutMs  uint32 `json:"probe_timeout_ms"`
	SuspectAfterMs  uint32 `json:"suspect_after_ms"`
}

// Proxy holds the settings of jayloom-proxy.
type Proxy struct {
	// Listen is the address for callers.
	Listen string `json:"listen"`
	// ListenPeering and AdvertisePeering carry forwarded cancel requests.
	ListenPeering    string `json:"listen_peering"`
	AdvertisePeering string `json:"advertise_peering"`
	// ListenHTTP serves metrics.
	ListenHTTP string `json:"listen_http"`
	// CallerTLS is the certificate presented to callers; without one TLS is not offered.
	CallerTLS  tlsconf.Files   `json:"caller_tls"`
	RequireTLS bool            `json:"require_tls"`
	Upstream   UpstreamAccount `json:"upstream"`

	MaxClients              uint32 `json:"max_clients"`
	MaxUnauthenticated      uint32 `json:"max_unauthenticated"`
	AuthenticationTimeoutMs uint32 `json:"authentication_timeout_ms"`
	// MaxMessageBytes bounds the announced length of a caller's message.
	MaxMessageBytes uint32 `json:"max_message_bytes"`
	// AllGroupsUpTo is the number of database groups up to which the proxy holds
	// primary leases of all groups; above it, only of the groups that it serves.
	AllGroupsUpTo uint32 `json:"all_groups_up_to"`
	// DefaultDeadlineMs applies to routes without a deadline.
	DefaultDeadlineMs uint32 `json:"default_deadline_ms"`
	// TokenWaitMs is how long a request waits for a rate token when the bucket is empty.
	TokenWaitMs uint32 `json:"token_wait_ms"`
	// QueuePerTeam bounds the requests of one team that wait for one upstream.
	QueuePerTeam uint32 `json:"queue_per_team"`
	// MaxPreparedBytes bounds the prepared statements that the proxy keeps for a caller.
	MaxPreparedBytes uint32 `json:"max_prepared_bytes"`
	// MaxPinnedPercent is the percentage of an upstream's share that may be pinned for
	// session state.
	MaxPinnedPercent uint32 `json:"max_pinned_percent"`
	// RetryPercent is the percentage of a team's requests that may be retries.
	RetryPercent   uint32 `json:"retry_percent"`
	DrainTimeoutMs uint32 `json:"drain_timeout_ms"`
	// CallerWriteTimeoutMs bounds how long a write to a caller that does not read may
	// block.
	CallerWriteTimeoutMs uint32 `json:"caller_write_timeout_ms"`
}

// Default returns the settings that apply to fields that no file states.
func Default() *Settings {
	return &Settings{
		Log: Log{Format: "text", Level: "info"},
		Control: Control{
			SnapshotEntries:     1000,
			ReservedConnections: 2,
			ProbeIntervalMs:     200,
			ProbeTimeoutMs:      400,
			SuspectAfterMs:      800,
		},
		Proxy: Proxy{
			MaxClients:              10_000,
			MaxUnauthenticated:      256,
			AuthenticationTimeoutMs: 10_000,
			MaxMessageBytes:         64 << 20,
			AllGroupsUpTo:           32,
			DefaultDeadlineMs:       2_000,
			TokenWaitMs:             300,
			QueuePerTeam:            1_000,
			MaxPreparedBytes:        4 << 20,
			MaxPinnedPercent:        50,
			RetryPercent:            10,
			DrainTimeoutMs:          60_000,
			CallerWriteTimeoutMs:    30_000,
		},
	}
}
