package main

import (
	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
)

type teamSet struct {
	Rate   float64  `long:"rate" required:"yes" description:"requests per second over the whole fleet"`
	Burst  float64  `long:"burst" required:"yes" description:"requests at once over the whole fleet"`
	Routes []string `long:"route" description:"route that the team may use (several allowed; none given: all)"`
	Args   struct {
		Name string `positional-arg-name:"TEAM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute creates or changes a team.
func (c *teamSet) Execute([]string) error {
	team := &controlpb.Team{Name: c.Args.Name, Rate: c.Rate, Burst: c.Burst, Routes: c.Routes}
	return propose(&controlpb.Command{Change: &controlpb.Command_PutTeam{PutTeam: team}})
}

type teamRemove struct {
	Args struct {
		Name string `positional-arg-name:"TEAM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes a team.
func (c *teamRemove) Execute([]string) error {
	remove := &controlpb.RemoveTeam{Name: c.Args.Name}
	return propose(&controlpb.Command{Change: &controlpb.Command_RemoveTeam{RemoveTeam: remove}})
}

type serviceSet struct {
	SlotGroups []string `long:"slot-group" required:"yes" description:"group of the next slot, from slot 0 (repeat for each slot)"`
	Args       struct {
		Name string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute creates or changes a service.
func (c *serviceSet) Execute([]string) error {
	service := &controlpb.Service{Name: c.Args.Name, SlotGroups: c.SlotGroups}
	return propose(&controlpb.Command{Change: &controlpb.Command_PutService{PutService: service}})
}

type serviceRemove struct {
	Args struct {
		Name string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes a service.
func (c *serviceRemove) Execute([]string) error {
	remove := &controlpb.RemoveService{Name: c.Args.Name}
	return propose(&controlpb.Command{Change: &controlpb.Command_RemoveService{RemoveService: remove}})
}

type routeSet struct {
	Service    string `long:"service" required:"yes" description:"service that the route belongs to"`
	Read       bool   `long:"read" description:"requests only read"`
	Idempotent bool   `long:"idempotent" description:"requests may be run again"`
	MaxAgeMs   uint32 `long:"max-age-ms" description:"age that the data of a read may have, in milliseconds; 0: read-your-writes"`
	Open       bool   `long:"open" description:"no key is needed"`
	DeadlineMs uint32 `long:"deadline-ms" description:"time to start a request, in milliseconds; 0: the proxies' default"`
	Ack        string `long:"ack" choice:"primary" choice:"replica" default:"primary" description:"who must have a write before it is acknowledged"`
	Args       struct {
		Name string `positional-arg-name:"ROUTE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute creates or changes a route.
func (c *routeSet) Execute([]string) error {
	route := &controlpb.Route{
		Name:       c.Args.Name,
		Service:    c.Service,
		Read:       c.Read,
		Idempotent: c.Idempotent || c.Read,
		MaxAgeMs:   c.MaxAgeMs,
		Open:       c.Open,
		DeadlineMs: c.DeadlineMs,
	}
	if c.Ack == "replica" {
		route.Acknowledgement = controlpb.Acknowledgement_ACKNOWLEDGEMENT_REPLICA
	}
	return propose(&controlpb.Command{Change: &controlpb.Command_PutRoute{PutRoute: route}})
}

type routeRemove struct {
	Args struct {
		Name string `positional-arg-name:"ROUTE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes a route.
func (c *routeRemove) Execute([]string) error {
	remove := &controlpb.RemoveRoute{Name: c.Args.Name}
	return propose(&controlpb.Command{Change: &controlpb.Command_RemoveRoute{RemoveRoute: remove}})
}

type upstreamRemove struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes an upstream.
func (c *upstreamRemove) Execute([]string) error {
	remove := &controlpb.RemoveUpstream{Address: c.Args.Address}
	return propose(&controlpb.Command{Change: &controlpb.Command_RemoveUpstream{RemoveUpstream: remove}})
}

type proxyRemove struct {
	Args struct {
		Name string `positional-arg-name:"PROXY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes a proxy.
func (c *proxyRemove) Execute([]string) error {
	remove := &controlpb.RemoveProxy{Name: c.Args.Name}
	return propose(&controlpb.Command{Change: &controlpb.Command_RemoveProxy{RemoveProxy: remove}})
}

// memberArgs identifies a member of the control log.
type memberArgs struct {
	Identity string `positional-arg-name:"IDENTITY" required:"yes"`
}

type memberAddLearner struct {
	Address string     `long:"address" required:"yes" description:"gRPC address of the control VM"`
	Args    memberArgs `positional-args:"yes"`
}

// Execute adds a learner.
func (c *memberAddLearner) Execute([]string) error {
	return changeMembership(&controlpb.ChangeMembershipRequest{
		Kind:     controlpb.ChangeMembershipRequest_KIND_ADD_LEARNER,
		Identity: c.Args.Identity,
		Address:  c.Address,
	})
}

type memberPromote struct {
	Args memberArgs `positional-args:"yes"`
}

// Execute makes a learner a voter.
func (c *memberPromote) Execute([]string) error {
	return changeMembership(&controlpb.ChangeMembershipRequest{
		Kind:     controlpb.ChangeMembershipRequest_KIND_PROMOTE_LEARNER,
		Identity: c.Args.Identity,
	})
}

type memberRemove struct {
	Args memberArgs `positional-args:"yes"`
}

// Execute removes a member.
func (c *memberRemove) Execute([]string) error {
	if c.Args.Identity == "" {
		return errors.New("the identity of the member is empty")
	}
	return changeMembership(&controlpb.ChangeMembershipRequest{
		Kind:     controlpb.ChangeMembershipRequest_KIND_REMOVE,
		Identity: c.Args.Identity,
	})
}
