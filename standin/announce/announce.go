// Package announce registers an upstream with the control VMs by repeating POST
// /v1/upstreams while the upstream runs.
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
	// Interval is the time between announcements.
	Interval = 2 * time.Second
	// requestTimeout bounds one request. It is below Interval so that requests do not
	// pile up.
	requestTimeout = 1500 * time.Millisecond
	announcePath   = "/v1/upstreams"
)

// States of an upstream.
const (
	Joining = "joining"
	Leaving = "leaving"
)

// Upstream is the body of an announcement.
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

// New returns an announcer. It sends nothing before Run or Leave.
func New(urls []string, credential string, upstream Upstream, logger *logrus.Entry) *Announcer {
	upstream.State = Joining
	return &Announcer{
		urls:       urls,
		credential: credential,
		logger:     logger,
		client:     &http.Client{Timeout: requestTimeout},
		upstream:   upstream,
		failing:    map[string]bool{},
	}
}

// Run sends an announcement immediately and then every Interval until ctx ends.
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

// Leave announces that the upstream is leaving; later announcements repeat that
// state. It returns after every control VM has answered or failed.
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
	var requests sync.WaitGroup
	for _, url := range a.urls {
		requests.Go(func() { a.logFailureChange(url, a.announce(ctx, url, upstream)) })
	}
	requests.Wait()
}

func (a *Announcer) announce(ctx context.Context, url string, upstream Upstream) error {
	body, err := json.Marshal(upstream)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	target := strings.TrimSuffix(url, "/") + announcePath
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
	// Reading to the end allows the connection to be reused.
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// logFailureChange logs when announcements to a URL start to fail or succeed again.
func (a *Announcer) logFailureChange(url string, err error) {
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
