package settings

import "github.com/jayloom/jayloom/base/tlsconf"

// Settings are the settings of every process. A process uses its own section and
// the shared ones.
type Settings struct {
	VM      VM      `json:"vm"`
	Cluster Cluster `json:"cluster"`
	TLS     TLS     `json:"tls"`
	Log     Log     `json:"log"`
	Control Control `json:"control"`
	Proxy   Proxy   `json:"proxy"`
}

// VM names the machine that a process runs on.
type VM struct {
	Name string `json:"name"`
	// Place is the data centre.
	Place string `json:"place"`
}

// Cluster is what all processes of one system share.
type Cluster struct {
	Name string `json:"name"`
	// Voters are the gRPC addresses (host:port) of the control VMs.
	Voters []string `json:"voters"`
}

// TLS is the protection of connections between the system's processes.
type TLS struct {
	// Identity is the certificate shown to other processes, and the CA for theirs.
	Identity tlsconf.Files `json:"identity"`
	// AllowPlain permits connections without TLS outside loopback.
	AllowPlain bool `json:"allow_plain"`
}

// Log is the form of the log.
type Log struct {
	// Format is "text" or "json".
	Format string `json:"format"`
	Level  string `json:"level"`
}

// UpstreamAccount is the system's own account on upstreams.
type UpstreamAccount struct {
	User     string `json:"user"`
	Password string `json:"password"`
	// Database is the database on the upstream; empty means the service's name.
	Database string      `json:"database"`
	TLS      UpstreamTLS `json:"tls"`
}

// SSLMode is the protection of connections to upstreams, with the names and the
// meaning that libpq's sslmode gives them.
type SSLMode string

// Modes. "require" checks no certificate unless a CA file is named.
const (
	SSLDisable    SSLMode = "disable"
	SSLRequire    SSLMode = "require"
	SSLVerifyCA   SSLMode = "verify-ca"
	SSLVerifyFull SSLMode = "verify-full"
)

// UpstreamTLS is the protection of connections to upstreams. The zero value is no
// protection.
type UpstreamTLS struct {
	SSLMode SSLMode `json:"sslmode"`
	// Cert and Key are PEM files of the account's certificate, CA that of the
	// certificates that upstreams are checked against.
	Cert string `json:"cert_file"`
	Key  string `json:"key_file"`
	CA   string `json:"ca_file"`
}

// Control are the settings of jayloom-control.
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
	// ReservedConnections of each upstream are not lent to proxies.
	ReservedConnections uint32 `json:"reserved_connections"`
	// ProbeIntervalMs, ProbeTimeoutMs and SuspectAfterMs drive the watcher.
	ProbeIntervalMs uint32 `json:"probe_interval_ms"`
	ProbeTimeoutMs  uint32 `json:"probe_timeout_ms"`
	SuspectAfterMs  uint32 `json:"suspect_after_ms"`
}

// Proxy are the settings of jayloom-proxy.
type Proxy struct {
	// Listen is where callers connect.
	Listen string `json:"listen"`
	// ListenPeering and AdvertisePeering carry forwarded cancel requests.
	ListenPeering    string `json:"listen_peering"`
	AdvertisePeering string `json:"advertise_peering"`
	// ListenHTTP serves metrics.
	ListenHTTP string `json:"listen_http"`
	// CallerTLS is the certificate shown to callers; without one TLS is not offered.
	CallerTLS  tlsconf.Files   `json:"caller_tls"`
	RequireTLS bool            `json:"require_tls"`
	Upstream   UpstreamAccount `json:"upstream"`

	MaxClients              uint32 `json:"max_clients"`
	MaxUnauthenticated      uint32 `json:"max_unauthenticated"`
	AuthenticationTimeoutMs uint32 `json:"authentication_timeout_ms"`
	// MaxMessageBytes bounds the announced length of a caller's message.
	MaxMessageBytes uint32 `json:"max_message_bytes"`
	// AllGroupsUpTo is the number of database groups up to which the proxy holds
	// leases of all of them; above it, of those that it serves.
	AllGroupsUpTo uint32 `json:"all_groups_up_to"`
	// DefaultDeadlineMs applies to routes that state none.
	DefaultDeadlineMs uint32 `json:"default_deadline_ms"`
	// TokenWaitMs is how long a request waits for a token of an empty bucket.
	TokenWaitMs uint32 `json:"token_wait_ms"`
	// QueuePerTeam bounds the requests of one team that wait for one upstream.
	QueuePerTeam uint32 `json:"queue_per_team"`
	// MaxPreparedBytes bounds the prepared statements that the proxy keeps for a caller.
	MaxPreparedBytes uint32 `json:"max_prepared_bytes"`
	// MaxPinnedPercent of an upstream's share may be held for session state.
	MaxPinnedPercent uint32 `json:"max_pinned_percent"`
	// RetryPercent of a team's requests may be retries.
	RetryPercent   uint32 `json:"retry_percent"`
	DrainTimeoutMs uint32 `json:"drain_timeout_ms"`
	// CallerWriteTimeoutMs bounds how long a caller may leave its answer unread.
	CallerWriteTimeoutMs uint32 `json:"caller_write_timeout_ms"`
}

// Default returns the values of fields that no file states.
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
