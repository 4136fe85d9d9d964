package topology

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Fingerprint identifies the state that an upstream announces, without the sequence of the announcement.
func Fingerprint(a *controlpb.UpstreamAnnouncement) uint64 {
	h := fnv.New64a()
	for _, field := range []string{a.Id, a.Service, a.Address, a.Place} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	fixed := binary.LittleEndian.AppendUint64(nil, uint64(a.StartedUnixMs))
	fixed = binary.LittleEndian.AppendUint32(fixed, a.Slots)
	fixed = append(fixed, byte(a.Phase))
	if a.Primary {
		fixed = append(fixed, 1)
	}
	if a.WarmupLeftMs > 0 {
		fixed = append(fixed, 2)
	}
	h.Write(fixed)
	return h.Sum64()
}

// RecordUnchanged records that an upstream has announced its registered state again. It returns false if another
// state is registered, or none: the next announcement is then needed in full.
func (r *Registry) RecordUnchanged(at time.Duration, c *controlpb.UpstreamContact) bool {
	u := r.upstreams[c.Id]
	if u == nil || u.Left || u.Draining || u.fingerprint != c.Fingerprint {
		return false
	}
	if c.Sequence <= u.sequence {
		// A late announcement, or the highest number was wrong, which only a complete announcement can correct.
		return at-u.announcedAt <= AnnouncementTimeout
	}
	u.sequence = c.Sequence
	u.announcedAt = max(u.announcedAt, at)
	u.LastContact = max(u.LastContact, at)
	return true
}
