package topology

import "time"

// A Leave call names no process, only an ID. It may arrive late, when its sender has ended and another process runs under
// the same ID. It is believed of an upstream that has drained, which is what each one does before it leaves. Of any other
// it is doubted: nodes send no more work there, and the upstream counts as running until it has been silent for long. Two
// announcements behind the call show that it was a late one; a single one may be late itself.

// recordLeave records a Leave call, and reports whether it changes anything.
func (r *Registry) recordLeave(now time.Duration, id string) bool {
	u := r.upstreams[id]
	if u == nil || u.Left {
		return false
	}
	u.Left, u.LastContact = true, now
	u.LeaveDoubted, u.heardAt = !u.hasDrained(now), now
	r.revision++
	return true
}

// hasDrained reports whether the drain of an upstream is over. One whose end is not known counts as drained.
func (u *Upstream) hasDrained(now time.Duration) bool {
	return u.Draining && now >= u.DrainEndsAt
}

// refutesLeave reports whether an announcement of the process that has left, as far as is known, shows that its Leave
// call was a late one.
func (r *Registry) refutesLeave(now time.Duration, u *Upstream, sequence uint64) bool {
	if sequence <= u.sequence {
		return false
	}
	if u.announcedSinceLeave {
		return true
	}
	u.announcedSinceLeave, u.sequence, u.heardAt = true, sequence, now
	return false
}

// confirmLeaveBySilence believes a doubted Leave call of an upstream that has been silent since.
func (u *Upstream) confirmLeaveBySilence(now time.Duration) {
	if u.LeaveDoubted && now-u.heardAt >= AnnouncementTimeout {
		u.LeaveDoubted = false
	}
}

// Doubted returns the upstreams that have left by a doubted Leave call.
func (r *Registry) Doubted() []*Upstream {
	var doubted []*Upstream
	for _, u := range r.upstreams {
		if u.LeaveDoubted {
			doubted = append(doubted, u)
		}
	}
	return doubted
}

// Left returns the IDs of the upstreams that have left and do not run any more, by service.
func (r *Registry) Left() map[string][]string {
	left := map[string][]string{}
	for _, u := range r.upstreams {
		if u.Left && !u.LeaveDoubted {
			left[u.Service] = append(left[u.Service], u.ID)
		}
	}
	return left
}
