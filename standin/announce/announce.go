// Package announce tells control about an upstream: POST /v1/upstreams, repeated
// while the upstream runs.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// Interval is how often an announcement is repeated.
	Interval = 2 * time.Second
	// timeout bounds one request; it is below Interval so that they do not pile up.
	timeout = 1500 * time.Millisecond
	path    = "/v1/upstreams"
)

// States of an upstream.
const (
	Joining = "joining"
	Leaving = "leaving"
)

// Upstream is what is announced.
type Upstream struct {
	Service         string `json:"service"`
	Group           string `json:"group"`
	Address         string `json:"address"`
	State           string `json:"state"`
	Place           string `json:"place,omitempty"`
	ConnectionLimit uint32 `json:"connection_limit,omitempty"`
}

// Announcer repeats an announcement to several control VMs.
type Announcer struct {
	urls       []string
	credential string
	logger     *logrus.Entry
	client     *http.Client

	mu       sync.Mutex
	upstream Upstream
	failing  map[string]bool
}

// New returns an announcer that sends nothing yet.
func New(urls []string, credential string, upstream Upstream, logger *logrus.Entry) *Announcer {
	upstream.State = Joining
	return &Announcer{
		urls:       urls,
		credential: credential,
		logger:     logger,
		client:     &http.Client{Timeout: timeout},
		upstream:   upstream,
		failing:    map[string]bool{},
	}
}

// Run announces at once and then every Interval until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		a.announceAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Leave announces that the upstream is leaving, and keeps to that state. It
// returns after every control VM was told or could not be reached.
func (a *Announcer) Leave(ctx context.Context) {
	a.mu.Lock()
	a.upstream.State = Leaving
	a.mu.Unlock()
	a.announceAll(ctx)
}

func (a *Announcer) announceAll(ctx context.Context) {
	a.mu.Lock()
	upstream := a.upstream
	a.mu.Unlock()
	var all sync.WaitGroup
	for _, url := range a.urls {
		all.Go(func() { a.note(url, a.announce(ctx, url, upstream)) })
	}
	all.Wait()
}

func (a *Announcer) announce(ctx context.Context, url string, upstream Upstream) error {
	body, err := json.Marshal(upstream)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	target := strings.TrimSuffix(url, "/") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	request.Header.Set("Authorization", "Bearer "+a.credential)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Newf("announcement answered with %s", response.Status)
	}
	// Reading to the end lets the connection be used again.
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// note logs when an address begins or ceases to fail.
func (a *Announcer) note(url string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	failing := err != nil
	if failing == a.failing[url] {
		return
	}
	a.failing[url] = failing
	if failing {
		a.logger.WithError(err).WithField("url", url).Warn("announcement failed")
		return
	}
	a.logger.WithField("url", url).Info("announcement accepted again")
}
