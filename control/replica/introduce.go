package replica

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/consensus"
)

const (
	// introduceTimeout bounds one round of introductions.
	introduceTimeout = time.Second
	// introduceInterval is the time between two rounds of introductions.
	introduceInterval = 200 * time.Millisecond
)

// firstMembershipIndex is the index of the snapshot with the first membership. It is not
// 0, so that the members that did not form it receive it as a snapshot.
const firstMembershipIndex = 1

// bootstrap decides how a replica with an empty folder starts. It returns the first
// membership if this replica has to form it, and nil if the replica has to wait until a
// leader contacts it.
//
// Only the replica with the lowest address of the settings forms the membership, once
// all others have answered and none has one. If each replica formed it by itself, two
// that saw different identities of a third, whose disk was replaced in between, would
// start with different memberships.
func (r *Replica) bootstrap(ctx context.Context) (*consensus.Membership, error) {
	introducer, err := newIntroducer(r.config)
	if err != nil {
		return nil, err
	}
	defer introducer.close()
	formsMembership := len(r.config.Voters) > 0 && slices.Min(r.config.Voters) == r.config.Address
	for {
		answers := introducer.introduceToAll(ctx, r.introduction())
		if answer := findFormed(answers); answer != nil {
			r.logWaiting(answer)
			return nil, nil
		}
		if !formsMembership {
			r.log.Info("waiting for another control VM to form the first membership")
			return nil, nil
		}
		if m, ok := r.firstMembership(answers); ok {
			return &m, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(introduceInterval):
		}
	}
}

func (r *Replica) logWaiting(answer *controlpb.Introduction) {
	for _, member := range answer.Membership.GetMembers() {
		if member.Identity == string(r.identity) {
			r.log.Info("already a member of the cluster; waiting for its leader")
			return
		}
	}
	r.log.Warn("the cluster exists without this identity; an operator has to add it as a learner")
}

func findFormed(answers map[string]*controlpb.Introduction) *controlpb.Introduction {
	for _, answer := range answers {
		if answer.Formed {
			return answer
		}
	}
	return nil
}

// firstMembership returns a membership of all control VMs of the settings if each of
// them has answered and their identities differ.
func (r *Replica) firstMembership(answers map[string]*controlpb.Introduction) (consensus.Membership, bool) {
	m := consensus.Membership{}
	usedIDs := map[consensus.ID]bool{}
	for _, address := range slices.Sorted(slices.Values(r.config.Voters)) {
		id := r.identity
		if address != r.config.Address {
			answer := answers[address]
			if answer == nil || answer.Identity == "" {
				return consensus.Membership{}, false
			}
			id = consensus.ID(answer.Identity)
		}
		if usedIDs[id] {
			r.log.Warnf("address %s belongs to the same control VM as another address of the settings", address)
			return consensus.Membership{}, false
		}
		usedIDs[id] = true
		m.Members = append(m.Members, consensus.Member{ID: id, Address: address})
	}
	return m, true
}

// introducer exchanges introductions with the other control VMs.
type introducer struct {
	connections map[string]*grpc.ClientConn
}

func newIntroducer(c Config) (*introducer, error) {
	in := &introducer{connections: map[string]*grpc.ClientConn{}}
	for _, address := range c.Voters {
		if address == c.Address {
			continue
		}
		connection, err := grpc.NewClient(address, dialOptions(c.DialOptions)...)
		if err != nil {
			in.close()
			return nil, errors.Wrapf(err, "address %s of a control VM", address)
		}
		in.connections[address] = connection
	}
	return in, nil
}

func (in *introducer) close() {
	for _, connection := range in.connections {
		_ = connection.Close()
	}
}

// introduceToAll sends the introduction to all addresses concurrently and returns the
// answers by address.
func (in *introducer) introduceToAll(ctx context.Context, own *controlpb.Introduction) map[string]*controlpb.Introduction {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	type result struct {
		address string
		answer  *controlpb.Introduction
	}
	results := make(chan result, len(in.connections))
	for address, connection := range in.connections {
		go func() {
			answer, err := controlpb.NewVoterClient(connection).Introduce(ctx, own)
			if err != nil {
				answer = nil
			}
			results <- result{address, answer}
		}()
	}
	answers := map[string]*controlpb.Introduction{}
	for range in.connections {
		if got := <-results; got.answer != nil {
			answers[got.address] = got.answer
		}
	}
	return answers
}
