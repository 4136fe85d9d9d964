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
	// clockInterval is the interval between updates of the clock row in each group.
	clockInterval = 100 * time.Millisecond
	// clockReadShare is the share of bounded-staleness reads that read the clock row.
	clockReadShare = 0.2
)

// StalenessReport counts bounded-staleness reads that were checked and those that
// returned data beyond their bound.
type StalenessReport struct {
	Checked int `json:"checked"`
	// TooOld counts reads that missed an update acknowledged longer ago than the
	// maximum staleness.
	TooOld int `json:"too_old"`
}

// newClockSessions returns one session of the first team for each group; it updates
// the group's clock row.
func (r *run) newClockSessions() []*session {
	var list []*session
	for group := range r.profile.Groups {
		s := newSession(r, r.teams[0], r.config.SessionsPerTeam+group)
		s.slot = group * r.profile.SlotsPerGroup
		s.random = rand.New(rand.NewPCG(r.config.Seed, uint64(s.slot)))
		list = append(list, s)
	}
	return list
}

// runClockUpdates writes the current time to the clock row until the run ends. A slow
// update causes the following ones to be skipped.
func (s *session) runClockUpdates(ctx context.Context) {
	defer s.disconnect()
	for at := time.Duration(0); at < s.run.config.Duration; at = s.run.elapsed() + clockInterval {
		if !s.run.sleepUntil(ctx, at) {
			return
		}
		s.run.recorder.add(s.runRequest(ctx, arrival{at: at, kind: ClockUpdate}))
	}
}

func (s *session) updateClockRow(ctx context.Context, rec *record) error {
	value := time.Now().UnixMicro()
	results, err := s.conn.Exec(ctx, s.run.profile.updateClockStatement(value, s.slot)).ReadAll()
	if err != nil {
		return err
	}
	rec.parseClockRow(results, strconv.FormatInt(value, 10))
	return nil
}

func (s *session) readClockRow(ctx context.Context, rec *record) error {
	results, err := s.conn.Exec(ctx, s.run.profile.readClockStatement(s.slot)).ReadAll()
	if err != nil {
		return err
	}
	rec.parseClockRow(results, "")
	return nil
}

// parseClockRow reads value and timeline from a result. The result of an update must
// hold the written value.
func (r *record) parseClockRow(results []*pgconn.Result, written string) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 2 {
		r.wrongAnswer = true
		return
	}
	row := results[0].Rows[0]
	value, errValue := strconv.ParseInt(string(row[0]), 10, 64)
	timeline, errTimeline := strconv.Atoi(string(row[1]))
	r.clockValue, r.timeline = value, timeline
	r.wrongAnswer = errValue != nil || errTimeline != nil || written != "" && string(row[0]) != written
}

// checkStaleness checks each read of a clock row against the updates that were
// acknowledged longer ago than the maximum staleness. It ignores updates on an
// earlier timeline than the read's, because a failover may have lost them.
func checkStaleness(records []record, maxAge time.Duration) StalenessReport {
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
			return updates[i].clockValue > read.clockValue
		}
	}
	return false
}
