// Package load puts open-loop load on proxies and checks what they acknowledged.
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
	// BoundedStalenessRead may use data of a stated age.
	BoundedStalenessRead Kind = iota
	// ReadYourWrites must see the session's last write.
	ReadYourWrites
	// Write inserts one row in one statement.
	Write
	// TransactionWrite inserts a row and a line that belongs to it.
	TransactionWrite
	// ClockUpdate writes the clock row that reads of a stated age are checked with.
	ClockUpdate

	// mixKinds is the number of kinds that arrivals are made of.
	mixKinds = ClockUpdate
)

// String returns the name used in reports.
func (k Kind) String() string {
	return [...]string{"tolerant_read", "own_read", "write", "transaction", "clock_update"}[k]
}

func (k Kind) isWrite() bool { return k == Write || k == TransactionWrite }

// Route is what an operator declares for a profile.
type Route struct {
	Name           string `json:"name"`
	Write          bool   `json:"write"`
	MaxStalenessMs uint32 `json:"max_age_ms"`
	Idempotent     bool   `json:"idempotent"`
}

// Team is a team of a profile or of the teams file.
type Team struct {
	Name string `json:"name"`
	// Key is the password; empty for a run directly against an upstream.
	Key string `json:"key"`
	// Weight is the team's part of the total rate.
	Weight float64 `json:"weight"`
	// Rate and Burst are what the operator granted, in requests/s and requests;
	// 0 leaves the checks of rates out.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Profile describes one user's system and load.
type Profile struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Lookup, Ledger and Lines are tables.
	Lookup string `json:"lookup"`
	Ledger string `json:"ledger"`
	Lines  string `json:"lines"`

	Places          []string `json:"places"`
	Proxies         int      `json:"proxies"`
	Groups          int      `json:"groups"`
	ServersPerGroup int      `json:"servers_per_group"`
	SlotsPerGroup   int      `json:"slots_per_group"`
	ConnectionLimit int      `json:"connection_limit"`
	// ConnectDelayMs and the one-way delays are the platform's.
	ConnectDelayMs float64 `json:"connect_delay_ms"`
	PlaceDelayMs   float64 `json:"place_delay_ms"`
	ClientDelayMs  float64 `json:"client_delay_ms"`

	Teams  []Team  `json:"teams"`
	Routes []Route `json:"routes"`
	// Mix is the share of each kind of request; it adds up to 1.
	Mix [mixKinds]float64 `json:"mix"`
}

// lookupRows is the number of rows of a lookup table.
const lookupRows = 64

// Profiles returns the profiles of the two users, and small: the first one's load
// on one group and two proxies, for runs that fail servers again and again.
func Profiles() map[string]Profile {
	litbrot := Profile{
		Name: "litbrot", Service: "wax", Lookup: "colour", Ledger: "intake", Lines: "intake_line",
		Places:       []string{"hafnarfjordur", "keflavik", "grindavik"},
		PlaceDelayMs: 1, ClientDelayMs: 1, ConnectionLimit: 25,
		Teams: weighted("drivers", "melt", "sorters", "lab", "office", "night", "audit", "visitors"),
		Mix:   [mixKinds]float64{BoundedStalenessRead: 0.45, ReadYourWrites: 0.25, Write: 0.2, TransactionWrite: 0.1},
	}
	paplate := Profile{
		Name: "paplate", Service: "trays", Lookup: "rack", Ledger: "deposit", Lines: "deposit_line",
		Places:       []string{"riga-centrs", "riga-kengarags", "jelgava", "jurmala"},
		PlaceDelayMs: 1.5, ClientDelayMs: 3, ConnectionLimit: 50,
		Teams: weighted("stations", "app", "dispatch", "repair", "shops", "events", "finance", "visitors"),
		Mix:   [mixKinds]float64{BoundedStalenessRead: 0.3, ReadYourWrites: 0.3, Write: 0.3, TransactionWrite: 0.1},
	}
	profiles := map[string]Profile{}
	for _, p := range []Profile{litbrot, paplate} {
		p.Proxies, p.Groups, p.ServersPerGroup, p.SlotsPerGroup = 11, 3, 3, 3
		p.ConnectDelayMs = 10
		p.Routes = []Route{
			{Name: p.Lookup, MaxStalenessMs: tolerantAgeMs},
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

// tolerantAgeMs is the age that colour codes and rack levels may have.
const tolerantAgeMs = 5000

// teamWeights make a few of the teams large.
var teamWeights = []float64{0.34, 0.24, 0.16, 0.08, 0.06, 0.05, 0.04, 0.03}

func weighted(names ...string) []Team {
	teams := make([]Team, len(names))
	for i, name := range names {
		teams[i] = Team{Name: name, Weight: teamWeights[i]}
	}
	return teams
}

func (p Profile) readRoute() string  { return p.Ledger + "-read" }
func (p Profile) writeRoute() string { return p.Ledger }

// maxAge is the age that the route of tolerant reads allows.
func (p Profile) maxAge() time.Duration {
	for _, r := range p.Routes {
		if r.Name == p.Lookup {
			return time.Duration(r.MaxStalenessMs) * time.Millisecond
		}
	}
	return 0
}

// Slots is the number of slots of the service.
func (p Profile) Slots() int { return p.Groups * p.SlotsPerGroup }

// groupOf returns the group of a slot when slots are given to groups in order.
func (p Profile) groupOf(slot int) int { return slot / p.SlotsPerGroup }

// Schema returns the statements that create a group's tables.
func (p Profile) Schema() string {
	var b strings.Builder
	fmt.Fprintf(&b, "CREATE TABLE %s (code text PRIMARY KEY, label text NOT NULL);\n", p.Lookup)
	fmt.Fprintf(&b, "CREATE TABLE %s (id bigserial PRIMARY KEY, request text NOT NULL, team text NOT NULL, session text NOT NULL, n bigint NOT NULL, timeline int);\n", p.Ledger)
	fmt.Fprintf(&b, "CREATE TABLE %s (id bigserial PRIMARY KEY, request text NOT NULL, team text NOT NULL);\n", p.Lines)
	fmt.Fprintf(&b, "INSERT INTO %s VALUES ('%s', '0');\n", p.Lookup, clockCode)
	for i := range lookupRows {
		fmt.Fprintf(&b, "INSERT INTO %s VALUES ('%s', '%s');\n", p.Lookup, lookupCode(i), lookupLabel(i))
	}
	return b.String()
}

func lookupCode(i int) string  { return fmt.Sprintf("c%02d", i) }
func lookupLabel(i int) string { return fmt.Sprintf("label %02d", i) }
