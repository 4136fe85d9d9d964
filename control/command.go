package control

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/entry"
)

const (
	// maxCommandBytes bounds an encoded command. Each command is sent to all control VMs and proxies and
	// stays in the log. The largest is a service, with a name for each of its slots.
	maxCommandBytes = 1 << 20
	// maxRequestIDBytes bounds the request identity and the actor of a command. The state keeps those of
	// several thousand commands.
	maxRequestIDBytes = 512
	// maxConnectionLimit is the highest max_connections of PostgreSQL.
	maxConnectionLimit = 1<<18 - 1
)

// checkCommand refuses a command that must not enter the log. It runs before the proposal: a command in the
// log has to be applied by all versions alike, so what applies it cannot refuse more than it did.
func (s *Server) checkCommand(c *controlpb.Command) error {
	if c == nil {
		return rescode.New(rescode.InvalidCommand, "the call has no command")
	}
	if err := checkSize(c); err != nil {
		return err
	}
	if a := c.GetAnnounceUpstream(); a != nil {
		return s.checkAnnouncement(a)
	}
	return nil
}

func checkSize(c *controlpb.Command) error {
	if size := proto.Size(c); size > maxCommandBytes {
		return rescode.New(rescode.InvalidCommand, "the command has %d bytes, more than %d", size, maxCommandBytes)
	}
	if len(c.GetRequestId()) > maxRequestIDBytes || len(c.GetActor()) > maxRequestIDBytes {
		return rescode.New(rescode.InvalidCommand, "the request identity or the actor has more than %d bytes", maxRequestIDBytes)
	}
	return nil
}

// checkAnnouncement refuses an announcement that names no upstream to use. It is the same for all ways in.
func (s *Server) checkAnnouncement(a *controlpb.AnnounceUpstream) error {
	u := a.GetUpstream()
	err := entry.First(checkState(u.GetState()), checkPlace(u.GetPlace()), checkConnectionLimit(u))
	if err == nil && !s.isKnown(a) {
		err = entry.First(
			entry.CheckWord("service", a.GetService()),
			entry.CheckWord("group", u.GetGroup()),
			entry.CheckHostAddress("address", u.GetAddress()),
		)
	}
	if err != nil {
		return rescode.New(rescode.InvalidCommand, "announcement: %s", err.Error())
	}
	return s.checkGroup(a)
}

// checkGroup refuses the first upstream of a group that a service of another name uses: the group would belong
// to the announced service from then on. Services may also be created after their groups.
func (s *Server) checkGroup(a *controlpb.AnnounceUpstream) error {
	view, group := s.store.View(), a.GetUpstream().GetGroup()
	if _, ok := view.Groups[group]; ok || slices.Contains(view.Services[a.GetService()].GetSlotGroups(), group) {
		return nil
	}
	for _, name := range sortedKeys(view.Services) {
		if slices.Contains(view.Services[name].SlotGroups, group) {
			return rescode.New(rescode.InvalidCommand, "announcement: service %q uses the group %q", name, group)
		}
	}
	return nil
}

// checkState refuses the states that only the leader sets.
func checkState(state controlpb.UpstreamState) error {
	switch state {
	case controlpb.UpstreamState_UPSTREAM_STATE_JOINING, controlpb.UpstreamState_UPSTREAM_STATE_LEAVING:
		return nil
	default:
		return &entry.Error{Field: "state", Reason: entry.OutOfRange}
	}
}

// checkPlace checks the place, which may be missing.
func checkPlace(place string) error {
	if place == "" {
		return nil
	}
	return entry.CheckPrintable("place", place)
}

// checkConnectionLimit checks the number of connections. An upstream that leaves needs none.
func checkConnectionLimit(u *controlpb.Upstream) error {
	lowest := uint32(1)
	if u.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_LEAVING {
		lowest = 0
	}
	return entry.CheckRange("connection_limit", u.GetConnectionLimit(), lowest, maxConnectionLimit)
}

// isKnown reports whether the state has the announced upstream. One that an earlier version took in must be
// able to leave, whatever its name.
func (s *Server) isKnown(a *controlpb.AnnounceUpstream) bool {
	view := s.store.View()
	known, ok := view.Upstreams[a.GetUpstream().GetAddress()]
	return ok && known.Group == a.Upstream.Group && view.Groups[known.Group].GetService() == a.Service
}
