package load

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// DefaultReadsMetric is the counter of reads by where they ran: target="replica"
// or target="primary". Its other labels distinguish kinds of reads.
const DefaultReadsMetric = "jayloom_proxy_reads_total"

// ReplicaShare is the share of one kind of read that replicas served.
type ReplicaShare struct {
	Kind    string  `json:"kind"`
	Replica float64 `json:"replica"`
	Primary float64 `json:"primary"`
	Share   float64 `json:"share"`
}

// fetchAllMetrics returns the series of all URLs, summed by series name.
func fetchAllMetrics(ctx context.Context, urls []string) (map[string]float64, error) {
	sums := map[string]float64{}
	for _, url := range urls {
		if err := fetchMetrics(ctx, url, sums); err != nil {
			return nil, errors.Wrapf(err, "read metrics of %s", url)
		}
	}
	return sums, nil
}

func fetchMetrics(ctx context.Context, url string, sums map[string]float64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("answered %s", response.Status)
	}
	return parseMetrics(response.Body, sums)
}

func parseMetrics(r io.Reader, sums map[string]float64) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		name, text, ok := cutLastField(line)
		if strings.HasPrefix(line, "#") || !ok {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Wrapf(err, "metric %s", name)
		}
		sums[name] += v
	}
	return lines.Err()
}

func cutLastField(line string) (name, text string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

var targetLabel = regexp.MustCompile(`,?target="(replica|primary)"`)

// replicaShares computes the shares from the increase of the counter. A proxy that
// restarted in between counts from its restart.
func replicaShares(metric string, before, after map[string]float64) []ReplicaShare {
	byKind := map[string]*ReplicaShare{}
	for name, v := range after {
		labels, isReads := strings.CutPrefix(name, metric+"{")
		target := targetLabel.FindStringSubmatch(labels)
		if !isReads || target == nil {
			continue
		}
		kind := strings.Trim(targetLabel.ReplaceAllString(labels, ""), "{},")
		s, ok := byKind[kind]
		if !ok {
			s = &ReplicaShare{Kind: kind}
			byKind[kind] = s
		}
		increase := v - before[name]
		if increase < 0 {
			increase = v
		}
		if target[1] == "replica" {
			s.Replica += increase
		} else {
			s.Primary += increase
		}
	}
	return sortedShares(byKind)
}

func sortedShares(byKind map[string]*ReplicaShare) []ReplicaShare {
	var shares []ReplicaShare
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		s := byKind[kind]
		if total := s.Replica + s.Primary; total > 0 {
			s.Share = s.Replica / total
		}
		shares = append(shares, *s)
	}
	return shares
}
