package control

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/entry"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4096
	// announcementTimeout bounds the wait for the leader. The platform's script repeats
	// the announcement after a failure.
	announcementTimeout = 5 * time.Second
)

// announcement is the body of POST /v1/upstreams.
type announcement struct {
	Service string `json:"service"`
	Group   string `json:"group"`
	Address string `json:"address"`
	Place   string `json:"place"`
	// State is "joining" or "leaving".
	State string `json:"state"`
	// ConnectionLimit is the number of upstream connections that jayloom may open.
	ConnectionLimit uint32 `json:"connection_limit"`
}

// announcementFields are the names of the fields of an announcement.
var announcementFields = []string{"service", "group", "address", "place", "state", "connection_limit"}

// announcementReply is the body of every response.
type announcementReply struct {
	Code     uint32 `json:"code"`
	Name     string `json:"name"`
	Message  string `json:"message,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// HandleAnnouncements registers POST /v1/upstreams on mux.
func (s *Server) HandleAnnouncements(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/upstreams", func(w http.ResponseWriter, r *http.Request) {
		result, err := s.announce(r)
		if err != nil {
			result = errorResult(nil, err)
		}
		writeAnnouncementReply(w, result)
	})
}

func (s *Server) announce(r *http.Request) (*controlpb.CommandResult, error) {
	credential, _ := strings.CutPrefix(r.Header.Get(authorizationKey), bearerPrefix)
	if !s.isAnnouncementCredential(credential) {
		refusals(rescode.AnnouncementCredentialWrong).Inc()
		return nil, rescode.New(rescode.AnnouncementCredentialWrong, "the call carries no valid announcement credential")
	}
	change, err := readAnnouncement(r)
	if err == nil {
		err = s.checkAnnouncement(change)
	}
	if err != nil {
		refusals(rescode.InvalidCommand).Inc()
		s.log.WithError(err).Warn("announcement refused")
		return nil, err
	}
	if s.isAnnounced(change) {
		return &controlpb.CommandResult{Revision: s.store.Revision()}, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), announcementTimeout)
	defer cancel()
	command := prepareCommand(&controlpb.Command{
		RequestId: rand.Text(),
		Actor:     change.Upstream.Address,
		Change:    &controlpb.Command_AnnounceUpstream{AnnounceUpstream: change},
	})
	return s.submit(ctx, credential, command)
}

func readAnnouncement(r *http.Request) (*controlpb.AnnounceUpstream, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, rescode.New(rescode.InvalidCommand, "announcement: %s", err.Error())
	}
	state, err := parseUpstreamState(body.State)
	if err != nil {
		return nil, err
	}
	return &controlpb.AnnounceUpstream{
		Service: body.Service,
		Upstream: &controlpb.Upstream{
			Address:         body.Address,
			Group:           body.Group,
			Place:           body.Place,
			State:           state,
			ConnectionLimit: body.ConnectionLimit,
		},
	}, nil
}

// readBody reads the body of an announcement. It refuses unknown names itself, since the JSON decoder also
// takes names that differ in case, so that one field could have two names.
func readBody(r *http.Request) (announcement, error) {
	var body announcement
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxAnnouncementBytes))
	if err != nil {
		return body, err
	}
	members, err := entry.ReadObject("announcement", data)
	if err != nil {
		return body, err
	}
	for name := range members {
		if !slices.Contains(announcementFields, name) {
			return body, errors.Newf("unknown field %q", name)
		}
	}
	return body, json.Unmarshal(data, &body)
}

func parseUpstreamState(text string) (controlpb.UpstreamState, error) {
	switch text {
	case "joining":
		return controlpb.UpstreamState_UPSTREAM_STATE_JOINING, nil
	case "leaving":
		return controlpb.UpstreamState_UPSTREAM_STATE_LEAVING, nil
	default:
		return 0, rescode.New(rescode.InvalidCommand, "announcement: state %q is neither joining nor leaving", text)
	}
}

// isAnnounced reports whether the state already contains the announcement. A diverged
// upstream stays diverged however often it announces itself: only the leader's probes
// show whether it is in recovery on the current timeline again.
func (s *Server) isAnnounced(a *controlpb.AnnounceUpstream) bool {
	current, ok := s.store.View().Upstreams[a.Upstream.Address]
	if !ok {
		return false
	}
	joining := a.Upstream.State == controlpb.UpstreamState_UPSTREAM_STATE_JOINING
	if joining && current.State == controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED {
		return true
	}
	return proto.Equal(current, a.Upstream)
}

func writeAnnouncementReply(w http.ResponseWriter, result *controlpb.CommandResult) {
	code := rescode.Code(result.Code)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(code))
	reply := announcementReply{Code: result.Code, Name: code.String(), Message: result.Message, Revision: result.Revision}
	// A caller that has disconnected repeats the announcement.
	_ = json.NewEncoder(w).Encode(reply)
}

func httpStatus(code rescode.Code) int {
	switch code {
	case rescode.OK:
		return http.StatusOK
	case rescode.AnnouncementCredentialWrong:
		return http.StatusForbidden
	case rescode.InvalidCommand, rescode.UnknownObject:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
