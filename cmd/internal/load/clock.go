package load

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// clockCode is the lookup row whose label is the time of its last update.
	clockCode = "clock"
	// clockInterval is how often it is updated in each group.
	clockInterval = 100 * time.Millisecond
	// clockShare of tolerant reads read the clock row.
	clockShare = 0.2
)

// StalenessReport says whether reads that allow an age stayed within it.
type StalenessReport struct {
	Checked int `json:"checked"`
	// TooOld reads did not see an update that was acknowledged before the age.
	TooOld int `json:"too_old"`
}

// clockSessions returns one session of the first team for each group, which
// updates the group's clock row.
func (r *run) clockSessions() []*session {
	var list []*session
	for group := range r.profile.Groups {
		s := newSession(r, r.teams[0], r.config.SessionsPerTeam+group)
		s.slot = group * r.profile.SlotsPerGroup
		s.random = rand.New(rand.NewPCG(r.config.Seed, uint64(s.slot)))
		list = append(list, s)
	}
	return list
}

// updateClock writes the time until the run ends. An update that takes long makes
// the next ones fall out.
func (s *session) updateClock(ctx context.Context) {
	defer s.drop()
	for at := time.Duration(0); at < s.run.config.Duration; at = s.run.elapsed() + clockInterval {
		if !s.run.sleepUntil(ctx, at) {
			return
		}
		s.run.recorder.add(s.request(ctx, arrival{at: at, kind: ClockUpdate}))
	}
}

func (s *session) writeClock(ctx context.Context, rec *record) error {
	value := time.Now().UnixMicro()
	results, err := s.conn.Exec(ctx, s.run.profile.clockStatement(value, s.slot)).ReadAll()
	if err != nil {
		return err
	}
	rec.takeClock(results, strconv.FormatInt(value, 10))
	return nil
}

func (s *session) readClock(ctx context.Context, rec *record) error {
	results, err := s.conn.Exec(ctx, s.run.profile.readClockStatement(s.slot)).ReadAll()
	if err != nil {
		return err
	}
	rec.takeClock(results, "")
	return nil
}

// takeClock takes value and timeline from an answer; an update must return what
// it wrote.
func (r *record) takeClock(results []*pgconn.Result, written string) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 2 {
		r.wrong = true
		return
	}
	row := results[0].Rows[0]
	value, errValue := strconv.ParseInt(string(row[0]), 10, 64)
	timeline, errTimeline := strconv.Atoi(string(row[1]))
	r.clock, r.timeline = value, timeline
	r.wrong = errValue != nil || errTimeline != nil || written != "" && string(row[0]) != written
}

// ages checks each read of a clock row against the updates that were acknowledged
// longer ago than the age allows. Updates of an earlier timeline than the read's
// are left out, because a failover may have lost them.
func ages(records []record, maxAge time.Duration) StalenessReport {
	updates := map[int][]*record{}
	for i := range records {
		if r := &records[i]; r.kind == ClockUpdate && r.outcome == Answered {
			updates[r.group] = append(updates[r.group], r)
		}
	}
	for _, list := range updates {
		slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(a.done, b.done) })
	}
	var result StalenessReport
	for i := range records {
		r := &records[i]
		if r.kind != BoundedStalenessRead || r.outcome != Answered || r.timeline == 0 {
			continue
		}
		result.Checked++
		if missedUpdate(updates[r.group], r, maxAge) {
			result.TooOld++
		}
	}
	return result
}

func missedUpdate(updates []*record, read *record, maxAge time.Duration) bool {
	end, _ := slices.BinarySearchFunc(updates, read.sent-maxAge, func(u *record, at time.Duration) int {
		return cmp.Compare(u.done, at)
	})
	for i := end - 1; i >= 0; i-- {
		if updates[i].timeline >= read.timeline {
			return updates[i].clock > read.clock
		}
	}
	return false
}
