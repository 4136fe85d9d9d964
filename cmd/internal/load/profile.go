// Package load generates open-loop load on proxies and checks the results against
// the data that the upstreams store.
package load

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the kind of a request.
type Kind uint8

// Kinds of requests.
const (
	// BoundedStalenessRead may return data up to a maximum staleness.
	BoundedStalenessRead Kind = iota
	// ReadYourWrites is a read that must see the session's last write.
	ReadYourWrites
	// Write inserts one row in one statement.
	Write
	// TransactionWrite inserts a row and a line that belongs to it.
	TransactionWrite
	// ClockUpdate writes the clock row, which shows how old the data of a
	// bounded-staleness read is.
	ClockUpdate

	// numMixKinds is the number of kinds that arrivals are drawn from.
	numMixKinds = ClockUpdate
)

// String returns the name used in reports.
func (k Kind) String() string {
	return [...]string{"tolerant_read", "own_read", "write", "transaction", "clock_update"}[k]
}

func (k Kind) isWrite() bool { return k == Write || k == TransactionWrite }

// Route is a route that an operator configures for a profile.
type Route struct {
	Name           string `json:"name"`
	Write          bool   `json:"write"`
	MaxStalenessMs uint32 `json:"max_age_ms"`
	Idempotent     bool   `json:"idempotent"`
}

// Team is a team of a profile or of the teams file.
type Team struct {
	Name string `json:"name"`
	// Key is the password; it is empty for a run directly against an upstream.
	Key string `json:"key"`
	// Weight is the team's share of the total rate.
	Weight float64 `json:"weight"`
	// Rate and Burst are the team's configured limits in requests/s and requests.
	// A rate of 0 skips the checks of the rate limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Profile describes the deployment and the workload of one user.
type Profile struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Lookup, Ledger and Lines are table names.
	Lookup string `json:"lookup"`
	Ledger string `json:"ledger"`
	Lines  string `json:"lines"`

	Places          []string `json:"places"`
	Proxies         int      `json:"proxies"`
	Groups          int      `json:"groups"`
	ServersPerGroup int      `json:"servers_per_group"`
	SlotsPerGroup   int      `json:"slots_per_group"`
	ConnectionLimit int      `json:"connection_limit"`
	// ConnectDelayMs and the one-way delays PlaceDelayMs and ClientDelayMs are
	// those of the platform.
	ConnectDelayMs float64 `json:"connect_delay_ms"`
	PlaceDelayMs   float64 `json:"place_delay_ms"`
	ClientDelayMs  float64 `json:"client_delay_ms"`

	Teams  []Team  `json:"teams"`
	Routes []Route `json:"routes"`
	// Mix holds the share of each kind of request; the shares add up to 1.
	Mix [numMixKinds]float64 `json:"mix"`
}

// lookupRowCount is the number of rows of the lookup table without the clock row.
const lookupRowCount = 64

// Profiles returns the profiles of the two users by name, and "small", the first
// user's workload on one group and two proxies for runs with repeated failures.
func Profiles() map[string]Profile {
	litbrot := Profile{
		Name: "litbrot", Service: "wax", Lookup: "colour", Ledger: "intake", Lines: "intake_line",
		Places:       []string{"hafnarfjordur", "keflavik", "grindavik"},
		PlaceDelayMs: 1, ClientDelayMs: 1, ConnectionLimit: 25,
		Teams: weightedTeams("drivers", "melt", "sorters", "lab", "office", "night", "audit", "visitors"),
		Mix:   [numMixKinds]float64{BoundedStalenessRead: 0.45, ReadYourWrites: 0.25, Write: 0.2, TransactionWrite: 0.1},
	}
	paplate := Profile{
		Name: "paplate", Service: "trays", Lookup: "rack", Ledger: "deposit", Lines: "deposit_line",
		Places:       []string{"riga-centrs", "riga-kengarags", "jelgava", "jurmala"},
		PlaceDelayMs: 1.5, ClientDelayMs: 3, ConnectionLimit: 50,
		Teams: weightedTeams("stations", "app", "dispatch", "repair", "shops", "events", "finance", "visitors"),
		Mix:   [numMixKinds]float64{BoundedStalenessRead: 0.3, ReadYourWrites: 0.3, Write: 0.3, TransactionWrite: 0.1},
	}
	profiles := map[string]Profile{}
	for _, p := range []Profile{litbrot, paplate} {
		p.Proxies, p.Groups, p.ServersPerGroup, p.SlotsPerGroup = 11, 3, 3, 3
		p.ConnectDelayMs = 10
		p.Routes = []Route{
			{Name: p.Lookup, MaxStalenessMs: lookupMaxStalenessMs},
			{Name: p.readRoute()},
			{Name: p.writeRoute(), Write: true},
		}
		profiles[p.Name] = p
	}
	small := profiles[litbrot.Name]
	small.Name, small.Proxies, small.Groups = "small", 2, 1
	profiles[small.Name] = small
	return profiles
}

// lookupMaxStalenessMs is the maximum staleness of colour codes and rack levels.
const lookupMaxStalenessMs = 5000

// teamWeights gives a few teams most of the load.
var teamWeights = []float64{0.34, 0.24, 0.16, 0.08, 0.06, 0.05, 0.04, 0.03}

func weightedTeams(names ...string) []Team {
	teams := make([]Team, len(names))
	for i, name := range names {
		teams[i] = Team{Name: name, Weight: teamWeights[i]}
	}
	return teams
}

func (p Profile) readRoute() string  { return p.Ledger + "-read" }
func (p Profile) writeRoute() string { return p.Ledger }

// maxStaleness returns the maximum staleness of the route for bounded-staleness
// reads.
func (p Profile) maxStaleness() time.Duration {
	for _, r := range p.Routes {
		if r.Name == p.Lookup {
			return time.Duration(r.MaxStalenessMs) * time.Millisecond
		}
	}
	return 0
}

// Slots returns the number of slots of the service.
func (p Profile) Slots() int { return p.Groups * p.SlotsPerGroup }

// groupOf returns the group of a slot; slots are assigned to groups in order.
func (p Profile) groupOf(slot int) int { return slot / p.SlotsPerGroup }

// Schema returns the statements that create a group's tables.
func (p Profile) Schema() string {
	var b strings.Builder
	fmt.Fprintf(&b, "CREATE TABLE %s (code text PRIMARY KEY, label text NOT NULL);\n", p.Lookup)
	fmt.Fprintf(&b, "CREATE TABLE %s (id bigserial PRIMARY KEY, request text NOT NULL, team text NOT NULL, session text NOT NULL, n bigint NOT NULL, timeline int);\n", p.Ledger)
	fmt.Fprintf(&b, "CREATE TABLE %s (id bigserial PRIMARY KEY, request text NOT NULL, team text NOT NULL);\n", p.Lines)
	fmt.Fprintf(&b, "INSERT INTO %s VALUES ('%s', '0');\n", p.Lookup, clockCode)
	for i := range lookupRowCount {
		fmt.Fprintf(&b, "INSERT INTO %s VALUES ('%s', '%s');\n", p.Lookup, lookupCode(i), lookupLabel(i))
	}
	return b.String()
}

func lookupCode(i int) string  { return fmt.Sprintf("c%02d", i) }
func lookupLabel(i int) string { return fmt.Sprintf("label %02d", i) }
