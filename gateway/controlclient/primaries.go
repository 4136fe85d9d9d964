package controlclient

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// addPrimaries adds the node's views of primaries to a regular report: by its position in the
// topology where the primary is as the topology says and has answered since the last regular
// report, in full where it fails or is another one, and not at all where the node has not asked. It also
// adds the services that the node has read from lately.
func addPrimaries(report *controlpb.NodeReport, views []*controlpb.PrimaryView, topology *controlpb.Topology) {
	known := topology.GetPrimaries()
	indexOf := make(map[string]int, len(known))
	for i, p := range known {
		indexOf[p.Service] = i
	}
	for _, v := range views {
		i, ok := indexOf[v.Service]
		if ok && v.ReadMs > 0 {
			report.ReadPrimaries = append(report.ReadPrimaries, uint32(i))
		}
		switch {
		case v.FailingMs > 0 || !ok || known[i].Upstream != v.Upstream:
			report.Primaries = append(report.Primaries, v)
		case v.AnsweredMs > 0 && time.Duration(v.AnsweredMs)*time.Millisecond <= reportInterval:
			report.AnsweredPrimaries = append(report.AnsweredPrimaries, uint32(i))
		}
	}
}

// readServices returns the services that the node has read from lately.
func readServices(views []*controlpb.PrimaryView) []string {
	var services []string
	for _, v := range views {
		if v.ReadMs > 0 {
			services = append(services, v.Service)
		}
	}
	return services
}

// primaryOf returns the service and the upstream of a position, or false if the topology does not
// have them.
func primaryOf(p *controlpb.PrimaryPosition, topology *controlpb.Topology) (service, upstream string, ok bool) {
	if p.PrimaryIndex == 0 {
		return p.Service, p.Upstream, true
	}
	primaries := topology.GetPrimaries()
	if int(p.PrimaryIndex) > len(primaries) {
		return "", "", false
	}
	primary := primaries[p.PrimaryIndex-1]
	return primary.Service, primary.Upstream, true
}
